package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"

	"masticcart.example/masticcart/internal/model"
)

var sha256HexPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Check validates the decoded settings and returns every problem, sorted by position. Load calls it; callers that build
// settings in code can call it too.
func (s *Settings) Check() []Problem {
	var ps []Problem
	var fieldErrors validator.ValidationErrors
	if err := newValidator().Struct(s); errors.As(err, &fieldErrors) {
		for _, f := range fieldErrors {
			ps = append(ps, s.newProblem(trimRootStruct(f.Namespace()), validationMessage(f)))
		}
	}
	ps = append(ps, s.checkBlocks()...)
	ps = append(ps, s.checkListeners()...)
	ps = append(ps, s.checkTLS()...)
	sortProblems(ps)
	return ps
}

// newProblem returns a problem at the position of the field, or of the innermost enclosing block if the field is
// missing.
func (s *Settings) newProblem(field, msg string) Problem {
	p := Problem{File: s.file, Field: field, Message: msg}
	for path := field; ; {
		if pos, ok := s.positions[path]; ok {
			p.Line, p.Column = pos.line, pos.column
			return p
		}
		if path == "" {
			return p
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// checkBlocks requires the block of the role, rejects the block of the other role, and checks the agent fields that
// depend on its kind.
func (s *Settings) checkBlocks() []Problem {
	var ps []Problem
	checkBlock := func(role Role, present bool) {
		name := string(role)
		if s.Role == role && !present {
			ps = append(ps, s.newProblem(name, fmt.Sprintf("missing: role %q needs this block", role)))
		}
		if s.Role != role && present {
			ps = append(ps, s.newProblem(name, fmt.Sprintf("not allowed with role %q", s.Role)))
		}
	}
	checkBlock(RoleEntry, s.Entry != nil)
	checkBlock(RoleAgent, s.Agent != nil)
	if a := s.Agent; a != nil {
		ps = append(ps, s.checkFieldOfKind("service", a.Service, a.Kind, KindExecutor)...)
		ps = append(ps, s.checkFieldOfKind("rack", a.Rack, a.Kind, KindWorker)...)
	}
	return ps
}

// checkFieldOfKind requires the field for agents of kind requiredBy and rejects it for the other kind.
func (s *Settings) checkFieldOfKind(field, value string, kind, requiredBy AgentKind) []Problem {
	switch {
	case kind != KindExecutor && kind != KindWorker:
		return nil // the validator reports an unknown kind
	case kind == requiredBy && value == "":
		return []Problem{s.newProblem("agent."+field, fmt.Sprintf("missing: an agent of kind %q needs it", kind))}
	case kind != requiredBy && value != "":
		return []Problem{s.newProblem("agent."+field, fmt.Sprintf("not allowed for an agent of kind %q", kind))}
	}
	return nil
}

// checkListeners rejects two listeners on the same address. Without the check the conflict would appear only when the
// second listener starts.
func (s *Settings) checkListeners() []Problem {
	var ps []Problem
	fieldByAddress := map[string]string{}
	addListener := func(field, addr string) {
		if addr == "" {
			return
		}
		if other, ok := fieldByAddress[addr]; ok {
			ps = append(ps, s.newProblem(field, fmt.Sprintf("address %s is already used by %s", addr, other)))
			return
		}
		fieldByAddress[addr] = field
	}
	addListener("metrics.listen", s.Metrics.Listen)
	if e := s.Entry; e != nil {
		addListener("entry.api_listen", e.APIListen)
		addListener("entry.rpc_listen", e.RPCListen)
	}
	return ps
}

func (s *Settings) checkTLS() []Problem {
	t := s.TLS
	if t == nil {
		return nil
	}
	var ps []Problem
	if (t.Certificate == "") != (t.Key == "") {
		ps = append(ps, s.newProblem("tls", "certificate and key are needed together"))
	}
	if s.Role == RoleEntry && t.Certificate == "" {
		ps = append(ps, s.newProblem("tls.certificate", "missing: an entry accepts connections and needs it"))
	}
	if t.CA == "" {
		ps = append(ps, s.newProblem("tls.ca", "missing: the certificates of other processes are verified with it"))
	}
	return ps
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	for tag, valid := range map[string]func(string) bool{
		"name":        model.ValidName,
		"ipport":      func(a string) bool { return addressProblem(a, true) == "" },
		"dialaddr":    func(a string) bool { return addressProblem(a, false) == "" },
		"upstreamurl": func(u string) bool { return urlProblem(u) == "" },
		"sha256hex":   sha256HexPattern.MatchString,
	} {
		// Registration fails only for an empty tag name.
		_ = v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return valid(f.Field().String()) })
	}
	return v
}

// trimRootStruct removes the name of the root struct from a validator namespace.
func trimRootStruct(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return path
}

// validationMessage describes a failed validator tag.
func validationMessage(f validator.FieldError) string {
	got := f.Value()
	switch f.Tag() {
	case "required":
		return "missing"
	case "oneof":
		return fmt.Sprintf("unknown %s %q: want one of %s", f.Field(), got, f.Param())
	case "name":
		return fmt.Sprintf("malformed name %q: want 1 to 128 letters, digits, '.', '_' or '-'", got)
	case "ipport":
		return addressProblem(fmt.Sprint(got), true)
	case "dialaddr":
		return addressProblem(fmt.Sprint(got), false)
	case "upstreamurl":
		return urlProblem(fmt.Sprint(got))
	case "sha256hex":
		return "malformed hash: want the 64 lower-case hex digits of a SHA-256"
	case "unique":
		return "an address is listed twice"
	}
	if f.Kind() == reflect.Slice {
		return "missing: at least one address is needed"
	}
	return fmt.Sprintf("out of range: got %v, want a %s of %s", got, f.Tag(), f.Param())
}

// addressProblem describes what is wrong with an ip:port address, or returns "". Host names are rejected: processes
// reach each other by IP address, so that starting one does not depend on a name service. An unspecified IP address is
// valid only if listen is set.
func addressProblem(addr string, listen bool) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Sprintf("malformed address %q: want ip:port", addr)
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return fmt.Sprintf("malformed address %q: %q is not an IP address", addr, host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return fmt.Sprintf("port out of range in %q: want 1 to 65535", addr)
	}
	if !listen && ip.IsUnspecified() {
		return fmt.Sprintf("malformed address %q: %s can be listened on but not dialled", addr, host)
	}
	return ""
}

// urlProblem describes what is wrong with the URL of an upstream, or returns "".
func urlProblem(raw string) string {
	u, err := url.Parse(raw)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Path != "" && u.Path != "/" || u.RawQuery != "" {
		return fmt.Sprintf("malformed address %q: want http://ip:port", raw)
	}
	return addressProblem(u.Host, false)
}
