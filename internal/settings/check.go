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

var hexHash = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Check returns every problem of the decoded settings. Load calls it; callers that build settings in code can too.
func (s *Settings) Check() []Problem {
	var ps []Problem
	var failed validator.ValidationErrors
	if err := newValidator().Struct(s); errors.As(err, &failed) {
		for _, f := range failed {
			ps = append(ps, s.problem(fieldPath(f.Namespace()), message(f)))
		}
	}
	ps = append(ps, s.checkBlocks()...)
	ps = append(ps, s.checkListeners()...)
	ps = append(ps, s.checkTLS()...)
	sortProblems(ps)
	return ps
}

// problem positions a message at the field, or at the closest block around a missing field.
func (s *Settings) problem(field, msg string) Problem {
	p := Problem{File: s.file, Field: field, Message: msg}
	for path := field; ; {
		if pos, ok := s.where[path]; ok {
			p.Line, p.Column = pos.line, pos.column
			return p
		}
		if path == "" {
			return p
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// checkBlocks allows only the block of the role, and within an agent only the fields of its kind.
func (s *Settings) checkBlocks() []Problem {
	var ps []Problem
	block := func(role Role, present bool) {
		name := string(role)
		if s.Role == role && !present {
			ps = append(ps, s.problem(name, fmt.Sprintf("missing: role %q needs this block", role)))
		}
		if s.Role != role && present {
			ps = append(ps, s.problem(name, fmt.Sprintf("not allowed with role %q", s.Role)))
		}
	}
	block(RoleEntry, s.Entry != nil)
	block(RoleAgent, s.Agent != nil)
	if a := s.Agent; a != nil {
		ps = append(ps, s.checkKind("service", a.Service, a.Kind, KindExecutor)...)
		ps = append(ps, s.checkKind("rack", a.Rack, a.Kind, KindWorker)...)
	}
	return ps
}

func (s *Settings) checkKind(field, value string, kind, owner AgentKind) []Problem {
	switch {
	case kind != KindExecutor && kind != KindWorker:
		return nil // reported by the validator
	case kind == owner && value == "":
		return []Problem{s.problem("agent."+field, fmt.Sprintf("missing: an agent of kind %q needs it", kind))}
	case kind != owner && value != "":
		return []Problem{s.problem("agent."+field, fmt.Sprintf("not allowed for an agent of kind %q", kind))}
	}
	return nil
}

// checkListeners refuses two listeners on one address, which would fail only when the second one starts.
func (s *Settings) checkListeners() []Problem {
	var ps []Problem
	taken := map[string]string{}
	claim := func(field, addr string) {
		if addr == "" {
			return
		}
		if other, ok := taken[addr]; ok {
			ps = append(ps, s.problem(field, fmt.Sprintf("address %s is already used by %s", addr, other)))
			return
		}
		taken[addr] = field
	}
	claim("metrics.listen", s.Metrics.Listen)
	if e := s.Entry; e != nil {
		claim("entry.api_listen", e.APIListen)
		claim("entry.rpc_listen", e.RPCListen)
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
		ps = append(ps, s.problem("tls", "certificate and key are needed together"))
	}
	if s.Role == RoleEntry && t.Certificate == "" {
		ps = append(ps, s.problem("tls.certificate", "missing: an entry accepts connections and needs it"))
	}
	if t.CA == "" {
		ps = append(ps, s.problem("tls.ca", "missing: the certificates of other processes are verified with it"))
	}
	return ps
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	for tag, ok := range map[string]func(string) bool{
		"name":        model.ValidName,
		"ipport":      func(a string) bool { return addressFault(a, true) == "" },
		"dialaddr":    func(a string) bool { return addressFault(a, false) == "" },
		"upstreamurl": func(u string) bool { return urlFault(u) == "" },
		"sha256hex":   hexHash.MatchString,
	} {
		// Registration fails only for an empty tag name.
		_ = v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return ok(f.Field().String()) })
	}
	return v
}

// fieldPath drops the name of the root struct from a validator namespace.
func fieldPath(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return path
}

func message(f validator.FieldError) string {
	got := f.Value()
	switch f.Tag() {
	case "required":
		return "missing"
	case "oneof":
		return fmt.Sprintf("unknown %s %q: want one of %s", f.Field(), got, f.Param())
	case "name":
		return fmt.Sprintf("malformed name %q: want 1 to 128 letters, digits, '.', '_' or '-'", got)
	case "ipport":
		return addressFault(fmt.Sprint(got), true)
	case "dialaddr":
		return addressFault(fmt.Sprint(got), false)
	case "upstreamurl":
		return urlFault(fmt.Sprint(got))
	case "sha256hex":
		return "malformed hash: want the 64 lower-case hex digits of a SHA-256"
	case "unique":
		return "an address is listed twice"
	}
	if f.Kind() == reflect.Slice {
		return "missing: at least one address is needed"
	}
	return fmt.Sprintf("out of range: %v is not the %s of %s", got, f.Tag(), f.Param())
}

// addressFault says what is wrong with ip:port. Processes reach each other by IP address, so that no start
// depends on a name service.
func addressFault(addr string, listen bool) string {
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

func urlFault(raw string) string {
	u, err := url.Parse(raw)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Path != "" && u.Path != "/" || u.RawQuery != "" {
		return fmt.Sprintf("malformed address %q: want http://ip:port", raw)
	}
	return addressFault(u.Host, false)
}
