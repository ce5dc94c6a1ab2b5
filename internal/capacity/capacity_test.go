package capacity

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a fit with a wrong slope, standard error or R2. docs/CAPACITY.md extrapolates from these.
func TestFitLine(t *testing.T) {
	f := FitLine([]float64{1, 2, 3, 4}, []float64{3, 5, 7, 10})
	want := Fit{Slope: 2.3, Intercept: 0.5, SlopeError: 0.173205, R2: 0.988785, N: 4}
	for name, pair := range map[string][2]float64{
		"slope": {f.Slope, want.Slope}, "intercept": {f.Intercept, want.Intercept},
		"error": {f.SlopeError, want.SlopeError}, "R2": {f.R2, want.R2},
	} {
		if math.Abs(pair[0]-pair[1]) > 1e-5 {
			t.Errorf("%s = %g, want %g", name, pair[0], pair[1])
		}
	}
	if f := FitLine([]float64{5, 5}, []float64{1, 2}); !math.IsNaN(f.Slope) {
		t.Errorf("slope over a constant = %g, want NaN", f.Slope)
	}
}

// Guards against a report that omits a series, fits a line through too few points, or shows a series of zeros.
func TestWriteReport(t *testing.T) {
	name := filepath.Join(t.TempDir(), "results.jsonl")
	lines := `{"part":"a","over":"n","x":1,"role":"r","measure":"m","y":2}
{"part":"a","over":"n","x":2,"role":"r","measure":"m","y":4}
{"part":"a","over":"n","x":3,"role":"r","measure":"m","y":6}
{"part":"a","over":"n","x":1,"role":"r","measure":"zero","y":0}
{"part":"a","over":"n","x":1,"role":"r","measure":"single","y":7}
{"part":"e","over":"x","role":"r","measure":"s","y":1.5,"event":true}
`
	if err := os.WriteFile(name, []byte(lines), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := WriteReport(&out, name); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"| a | n | r | m | 0 | 2 | 0 | 1.000 | 1:2 2:4 3:6 |", "| single | | | | | 1:7 |", "| e | x | r | s | 1.5 |",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("report lacks %q:\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "zero") {
		t.Error("report shows a series of zeros")
	}
}

// Guards against roles assigned by another order than the entries' own rendezvous order, against wrong log times, and
// against CPU time and memory that cannot be read from /proc.
func TestRendezvousOrderLogTimeAndProc(t *testing.T) {
	entries := []*entryProcess{
		{name: "entry-dc1-1", cell: "dc1"}, {name: "entry-dc1-2", cell: "dc1"}, {name: "entry-dc2-1", cell: "dc2"},
	}
	if got := entriesInRendezvousOrder(entries); len(got) != 2 || got[0].cell != measuredCell {
		t.Errorf("order of dc1 = %v", got)
	}
	at, ok := parseLogTime(`I1204 07:03:31.123456    42 agents.go:1] "Agent announced" agent="x"`)
	if !ok || at.Month() != 12 || at.Day() != 4 || at.Second() != 31 || at.Nanosecond() != 123456000 {
		t.Errorf("time = %v, %t", at, ok)
	}
	if cpuTime, err := processCPUTime(os.Getpid()); err != nil || cpuTime < 0 {
		t.Errorf("CPU time = %v, %v", cpuTime, err)
	}
	if rss, err := residentBytes(os.Getpid()); err != nil || rss < 1<<20 {
		t.Errorf("resident = %d, %v", rss, err)
	}
}
