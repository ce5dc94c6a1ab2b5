package settings

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
)

const invalidSettings = `{
  // a file with one fault per line
  "role": "entry", "name": "has space", "region": "riga", "cell": "riga",
  "log": {"verbosity": "high"},
  "metrics": {"listen": "127.0.0.1:70000"},
  "entry": {
    "api_listen": "localhost:80",
    "rpc_listen": 7000,
    "peers": ["10.0.0.1:7000", "0.0.0.0:7000"],
    "platform": {"addresses": [], "timeout": 500},
    "read_header_timeout": "5 parsecs",
    "max_queue": 0,
    "bodies": 1,
    "max_body_bytes": 1.5,
    "bootstrap_operator_token_hash": "xyz",
    "max_body_bytes": 4096,
  },
  "agent": null,
}`

// TestEveryProblemIsReportedWithItsPosition guards against problems that are omitted, reported one at a time, or
// reported at the wrong position.
func TestEveryProblemIsReportedWithItsPosition(t *testing.T) {
	_, err := Parse("f.jsonc", []byte(invalidSettings))
	got := &Error{}
	if !errors.As(err, &got) {
		t.Fatalf("want *Error, got %v", err)
	}
	want := []string{
		`f.jsonc:3:28: name: malformed name "has space"`,
		`f.jsonc:4:24: log.verbosity: wrong type: want a whole number, got a string`,
		`f.jsonc:5:25: metrics.listen: port out of range`,
		`f.jsonc:7:19: entry.api_listen: malformed address "localhost:80": "localhost" is not an IP address`,
		`f.jsonc:8:19: entry.rpc_listen: wrong type: want a string, got a number`,
		`f.jsonc:9:32: entry.peers[1]: malformed address`,
		`f.jsonc:10:31: entry.platform.addresses: missing: at least one`,
		`f.jsonc:10:46: entry.platform.timeout: wrong unit: a duration needs a unit; write "500ms"`,
		`f.jsonc:11:28: entry.read_header_timeout: wrong unit: "5 parsecs"`,
		`f.jsonc:12:18: entry.max_queue: out of range`,
		`f.jsonc:13:5: entry.bodies: unknown field`,
		`f.jsonc:14:23: entry.max_body_bytes: wrong type`,
		`f.jsonc:15:38: entry.bootstrap_operator_token_hash: malformed hash`,
		`f.jsonc:16:5: entry.max_body_bytes: field is given twice`,
		`f.jsonc:18:12: agent: wrong type: want an object, got null`,
	}
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("missing problem: %s", w)
		}
	}
	// rpc_listen is invalid, so rpc_advertise has no value to default to. This adds one problem.
	if len(got.Problems) != len(want)+1 {
		t.Errorf("%d problems, want %d:\n%v", len(got.Problems), len(want)+1, err)
	}
}

// TestBlocksMustMatchTheRole guards against blocks and fields that are accepted with a role or kind they do not belong
// to.
func TestBlocksMustMatchTheRole(t *testing.T) {
	base := `"name": "a", "region": "r", "cell": "c"`
	worker := `"kind": "worker", "upstream_url": "http://10.0.0.1:80", "units": 8, "entries": ["10.0.0.2:1"]`
	for content, want := range map[string]string{
		`{"role": "boss", ` + base + `}`:                                             `1:10: role: unknown role "boss"`,
		`{` + base + `}`:                                                             `1:1: role: missing`,
		`{"role": "entry", ` + base + `}`:                                            `1:1: entry: missing`,
		`{"role": "entry", ` + base + `, "agent": {` + worker + `}}`:                 `agent: not allowed with role "entry"`,
		`{"role": "agent", ` + base + `, "agent": {` + worker + `}}`:                 `agent.rack: missing`,
		`{"role": "agent", ` + base + `, "agent": {"service": "s", ` + worker + `}}`: `agent.service: not allowed`,
		`{"role": "agent",, }`:                                                       `1:18: syntax: `,
		`[]`:                                                                         `1:1: wrong type: want an object`,
		`{"role": "agent", ` + base + `, "agent": {"rack": "r", ` + worker +
			`}, "tls": {"key": "k"}}`: `tls: certificate and key`,
	} {
		if _, err := Parse("f", []byte(content)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s:\n got %v\nwant %s", content, err, want)
		}
	}
}

// TestExamplesLoad guards against example files that do not load or that share a name within a deployment.
func TestExamplesLoad(t *testing.T) {
	for _, deployment := range []string{"baltoptika", "liptov"} {
		files, err := filepath.Glob(filepath.Join("..", "..", "examples", deployment, "*.jsonc"))
		if err != nil || len(files) < 8 {
			t.Fatalf("%s: %d files, %v", deployment, len(files), err)
		}
		seen := map[string]string{}
		for _, f := range files {
			s, err := Load(f)
			if err != nil {
				t.Errorf("%v", err)
				continue
			}
			if r := s.Report(); seen[s.Name] != "" || !strings.Contains(r, "name = "+s.Name) {
				t.Errorf("%s shares its name with %q or its report lacks the name:\n%s", f, seen[s.Name], r)
			}
			seen[s.Name] = f
		}
	}
}

// FuzzParse guards against panics on malformed input and against invalid settings that are returned without an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(invalidSettings))
	f.Add([]byte(`{"role":"agent","name":"a","region":"r","cell":"c","agent":{"kind":"worker","rack":"r",` +
		`"upstream_url":"http://10.0.0.1:80","units":8,"entries":["10.0.0.2:1"]}}`))
	f.Add([]byte(`{"role":"entry","name":"a","region":"r","cell":"c","entry":{"api_listen":"0.0.0.0:80",` +
		`"rpc_listen":"10.0.0.1:81","platform":{"addresses":["10.0.0.9:1"],"timeout":"1s"}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("want either settings or an error, got %v and %v", s, err)
		}
		var settingsErr *Error
		if err != nil && (!errors.As(err, &settingsErr) || len(settingsErr.Problems) == 0) {
			t.Fatalf("want an *Error with problems, got %v", err)
		}
		if s != nil {
			if r := s.Report(); !strings.HasSuffix(r, "no problems\n") {
				t.Fatalf("accepted settings have problems: %s", r)
			}
		}
	})
}
