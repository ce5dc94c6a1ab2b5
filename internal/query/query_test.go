package query

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/evacuation"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

var testTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newJob(team, id string, attempt, accelerators int) model.Job {
	return model.Job{
		Spec: model.JobSpec{
			Key: model.JobKey{Team: team, ID: id}, Kind: "fit", Idempotent: true,
			Shape: model.Shape{Accelerators: accelerators, Adjacency: model.AdjacentRack},
		},
		Cell: "riga-1", State: model.JobAccepted, Attempt: attempt, Submitted: testTime.Add(-time.Hour),
		Members: []model.Member{{Agent: "w1", Units: accelerators}},
	}
}

// testView returns a view of a cell with two owners: e1 reports stale attempts, e2 is the current owner.
func testView() *View {
	c := &model.Config{
		Teams:      []model.Team{{Name: "pramen", MaxAccelerators: 16}, {Name: "zrkadlo"}},
		Guarantees: []model.Guarantee{{Team: "zrkadlo", Cell: "riga-1", Shape: newJob("", "", 0, 8).Spec.Shape, Count: 2}},
		Rules:      []model.Rule{{Kind: "fit", Class: model.ClassUrgent, Priority: 1, CrossRegionPrice: -1}},
	}
	finished := newJob("zrkadlo", "b", 1, 4)
	finished.Outcome, finished.Finished = &model.Outcome{
		Result: model.ResultFailed, Reason: "out of\x1b[2J memory",
	}, testTime
	worker := protocol.UpstreamView{Alive: true, Free: 2, Identity: protocol.Identity{
		Agent: "w1", Kind: protocol.KindWorker, Region: "riga", Cell: "riga-1", Rack: "r1", Units: 8}}
	staleView := protocol.CellView{Entry: "e1", Cell: "riga-1", Owner: true, Jobs: []protocol.JobView{
		{Job: newJob("zrkadlo", "a", 1, 4), Phase: "waiting"}, {Job: newJob("zrkadlo", "b", 1, 4), Phase: "running"}}}
	currentView := protocol.CellView{Entry: "e2", Cell: "riga-1", Owner: true, Upstreams: []protocol.UpstreamView{worker},
		Jobs: []protocol.JobView{
			{Job: newJob("zrkadlo", "a", 2, 4), Phase: "running"},
			{Job: newJob("pramen", "c", 0, 16), Phase: "waiting", Reason: "zrkadlo/a holds w1",
				WouldChange: `team "zrkadlo" ends`},
			{Job: newJob("zrkadlo", "d", 0, 64), Phase: "waiting", Reason: "no block"},
		}}
	v := NewView(testTime, c, []protocol.CellView{staleView, currentView}, []model.Job{finished})
	v.UnmetGuarantees = []UnmetGuarantee{{Guarantee: c.Guarantees[0], MissingBlocks: 1}}
	return v
}

func runQuery(t *testing.T, text string, v *View, viewer Viewer) (*Result, error) {
	t.Helper()
	q, err := Parse(text)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return Evaluate(q, v, viewer)
}

// TestEvaluate guards against wrong filters, orders and limits. It also guards against stale rows: a previous owner of
// the cell still reports an earlier attempt, and an owner still reports a job that has finished.
func TestEvaluate(t *testing.T) {
	for text, want := range map[string]string{
		"show jobs":                                                "pramen/c,zrkadlo/a,zrkadlo/b,zrkadlo/d",
		"show jobs where state = running":                          "zrkadlo/a",
		"SHOW jobs WHERE state = failed":                           "zrkadlo/b",
		"show jobs where accelerators >= 16":                       "pramen/c,zrkadlo/d",
		"show jobs where age < 1h":                                 "",
		"show jobs where workers ~ w and attempt = 1":              "zrkadlo/b",
		"show jobs where idempotent = no":                          "",
		`show jobs where reason ~ "no block"`:                      "zrkadlo/d",
		"show jobs sort by accelerators desc limit 1":              "zrkadlo/d",
		"show jobs where state != waiting sort by id":              "zrkadlo/a,zrkadlo/b",
		"show rules where cross_region_price = never":              "fit/urgent",
		"show rules where cross_region_price > 1s":                 "",
		"show teams where unmet > 0":                               "zrkadlo/-",
		"show sharing where within_guarantee = 4 and borrowed = 0": "zrkadlo/16",
		"show workers where free <= 2":                             "w1/riga",
		"show entries limit 1":                                     "e1/",
		"config status":                                            "e1/entry,e2/entry,w1/agent",
	} {
		r, err := runQuery(t, text, testView(), Viewer{})
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		var got []string
		for _, row := range r.Rows {
			got = append(got, row[0].String()+"/"+row[1].String())
		}
		if strings.Join(got, ",") != want {
			t.Errorf("%s: got %s, want %s", text, got, want)
		}
	}
}

// TestEvacuations guards against an evacuated cell that counts as empty while work runs there, and against a worker that
// is shown as usable.
func TestEvacuations(t *testing.T) {
	v := testView()
	v.Upstreams[0].Tasks = []protocol.TaskStatus{{Job: model.JobKey{Team: "zrkadlo", ID: "a"}, Phase: protocol.TaskRunning},
		{Job: model.JobKey{Team: "zrkadlo", ID: "b"}, Phase: protocol.TaskDone}}
	data := `[{"cell":"riga-2","revision":8,"since":"2026-01-02T03:00:00Z"},{"cell":"riga-1","revision":7}]`
	if err := json.Unmarshal([]byte(data), &v.Config.Evacuations); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]string{
		"show evacuations where empty = no":    `["riga-1","0001-01-01T00:00:00Z",7,1,1,6,false]`,
		"show evacuations where empty = yes":   `["riga-2","2026-01-02T03:00:00Z",8,0,0,0,true]`,
		"show workers where state = evacuated": `"w1"`,
		"explain job pramen/c":                 "0 of 0 accelerators free",
	} {
		r, err := runQuery(t, text, v, Viewer{})
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if got, _ := json.Marshal(r); !strings.Contains(string(got), want) {
			t.Errorf("%s: got %s, want %s", text, got, want)
		}
	}
}

// TestRendering guards against control characters that reach a terminal, and against a client that cannot decode the
// JSON that the server sends or shows it differently.
func TestRendering(t *testing.T) {
	r, _ := runQuery(t, "show jobs", testView(), Viewer{})
	var direct, afterDecoding bytes.Buffer
	if err := r.WriteTable(&direct); err != nil || strings.Contains(direct.String(), "\x1b") {
		t.Fatalf("write table: error %v, got %q", err, direct.String())
	}
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var decoded Result
	if err := json.Unmarshal(data, &decoded); err != nil {
		t.Fatal(err)
	}
	if err := decoded.WriteTable(&afterDecoding); err != nil || afterDecoding.String() != direct.String() {
		t.Errorf("write decoded table: error %v, got\n%s, want\n%s", err, afterDecoding.String(), direct.String())
	}
}

// TestViewerIsolation guards against queries that reveal other teams' jobs to a team: every result must be the same as
// if those jobs did not exist.
func TestViewerIsolation(t *testing.T) {
	fullView, teamView := testView(), testView()
	teamView.OpenJobs, teamView.FinishedJobs = []protocol.JobView{fullView.OpenJobs[2]}, nil
	teamView.Upstreams[0].Free = teamView.Upstreams[0].Identity.Units
	if teamView.OpenJobs[0].Job.Spec.Key.Team != "pramen" {
		t.Fatal("the third open job of the test view is not a job of team pramen")
	}
	texts := []string{"explain job pramen/c", "explain job zrkadlo/a", "config status",
		"show jobs where reason ~ zrkadlo", "show jobs where reason ~ another"}
	for name := range tables {
		texts = append(texts, "show "+name)
	}
	for _, text := range texts {
		a, errA := runQuery(t, text, fullView, Viewer{Team: "pramen"})
		b, errB := runQuery(t, text, teamView, Viewer{Team: "pramen"})
		if !reflect.DeepEqual(a, b) || !reflect.DeepEqual(errA, errB) {
			t.Errorf("%s: got %v (%v), want as without the other team's jobs %v (%v)", text, a, errA, b, errB)
		}
		if data, _ := json.Marshal(a); strings.Contains(string(data), "zrkadlo") {
			t.Errorf("%s: the result contains the other team's name: %s", text, data)
		}
	}
	if _, err := runQuery(t, "explain job zrkadlo/a", fullView, Viewer{Team: "pramen"}); !errors.Is(err, ErrJobNotFound) {
		t.Errorf("explain another team's job: got %v, want ErrJobNotFound", err)
	}
	if _, err := runQuery(t, "show workers", fullView, Viewer{Team: "pramen"}); !errors.Is(err, ErrOperatorsOnly) {
		t.Errorf("show workers as a team: got %v, want ErrOperatorsOnly", err)
	}
}

// TestParseErrors guards against errors with a wrong position or without the text that is expected there.
func TestParseErrors(t *testing.T) {
	parse := func(text string) error { _, err := Parse(text); return err }
	change := func(text string) error { _, err := ParseChange(text); return err }
	for _, c := range []struct {
		parse func(string) error
		text  string
		want  string
	}{
		{parse, "", `line 1, column 1: found the end of the text, expected "show" | "explain" | "config"`},
		{parse, "show foo", `line 1, column 6: found "foo", expected "jobs" | "workers"`},
		{parse, "show jobs\nwhere color = 1", `line 2, column 7: found "color", expected a field: team, id, state`},
		{parse, "show jobs where state = lost", `column 25: found "lost", expected waiting | holding | running`},
		{parse, "show jobs where attempt ~ 1", `expected a field that can be compared with ~; attempt allows = !=`},
		{parse, "show jobs where age > soon", `column 23: found "soon", expected a duration`},
		{parse, "show jobs limit -1", `column 17: found "-1", expected a whole number`},
		{parse, "show jobs where team = a sort", `column 30: found the end of the text, expected "by"`},
		{parse, "show jobs now", `column 11: found "now", expected "where" | "sort" | "limit" or the end`},
		{parse, "explain job a", `column 13: found "a", expected a job as TEAM/ID`},
		{parse, `show jobs where team = "a`, `column 24: found `},
		{change, "create team a;\n  drop team b", `line 2, column 3: found "drop", expected "create" | "set" | "remove"`},
		{change, "create team a foo", `found "foo", expected "token-hash" | "max-accelerators" | ";" or the end`},
		{change, "set team a token-hash 12", `found "12", expected a SHA-256`},
		{change, "set guarantee a in b 0 accelerators adjacent rack count 1", `found "0", expected 1 to 1024`},
		{change, "set guarantee a in b 4 accelerators adjacent row count 1", `found "row", expected "worker" | "rack"`},
		{change, "set weights completion-time 2 fragmentation 0", `column 29: found "2", expected a number from 0 to 1`},
		{change, "set rule a class urgent priority 1 max-wait -3s", `found "-3s", expected a duration`},
	} {
		err := c.parse(c.text)
		var p *ParseError
		if !errors.As(err, &p) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %s", c.text, err, c.want)
		}
	}
}

// TestChange guards against commands that have the wrong effect, and against a guarantee check that blocks changes
// which raise no guarantee.
func TestChange(t *testing.T) {
	hash := strings.Repeat("AB", 32)
	rejectAll := func(*model.Config) error { return errors.New("does not fit") }
	setGuarantee := "set guarantee a in riga-1 8 accelerators adjacent rack count "
	c := &model.Config{}
	for _, s := range []struct {
		text  string
		check GuaranteeCheck
		want  string // substring of the error
	}{
		{"create team a token-hash " + hash + " max-accelerators 64; " + setGuarantee + "3", nil, ""},
		{setGuarantee + "4", rejectAll, "does not fit"},
		{setGuarantee + "2", rejectAll, ""},
		{"create team b; create team a", nil, "line 1, column 16: team a exists already"},
		{"remove team a", nil, `no team "a"`},
		{setGuarantee + "9", nil, "exceeds its max-accelerators 64"},
		{"remove guarantee a in riga-1 8 accelerators adjacent worker", nil, "no such guarantee"},
		{"set rule fit class urgent priority 1 max-wait 5s cross-region-price 10ms;", nil, ""},
		{"set rule fit class normal priority 2", nil, ""},
		{"set weights completion-time 0.25 fragmentation 1", nil, ""},
		{"set team a max-accelerators 32", rejectAll, ""},
		{"evacuate cell riga-1; evacuate cell riga-2", rejectAll, ""},
		{"evacuate cell riga-1", nil, "cell riga-1 is evacuated already"},
		{"restore cell riga-2", nil, ""},
		{"restore cell riga-2", nil, "cell riga-2 is not evacuated"},
	} {
		change, err := ParseChange(s.text)
		if err != nil {
			t.Fatalf("%s: %v", s.text, err)
		}
		next := config.Clone(c)
		switch err := change.ConfigEdit(s.check, testTime)(next); {
		case s.want == "" && err != nil, s.want != "" && (err == nil || !strings.Contains(err.Error(), s.want)):
			t.Errorf("%s: got %v, want %q", s.text, err, s.want)
		case err == nil:
			c = next
		}
	}
	want := &model.Config{
		Teams: []model.Team{{Name: "a", TokenHashes: []string{strings.ToLower(hash)}, MaxAccelerators: 32}},
		Guarantees: []model.Guarantee{{
			Team: "a", Cell: "riga-1", Shape: model.Shape{Accelerators: 8, Adjacency: model.AdjacentRack}, Count: 2,
		}},
		Rules:       []model.Rule{{Kind: "fit", Class: model.ClassNormal, Priority: 2, CrossRegionPrice: -1}},
		Weights:     model.Weights{CompletionTime: 0.25, Fragmentation: 1},
		Evacuations: evacuation.Set{}.With(evacuation.Request{Cell: "riga-1", Revision: 1, Since: testTime}),
	}
	if !reflect.DeepEqual(c, want) {
		t.Errorf("got %+v, want %+v", c, want)
	}
}

// FuzzParse guards against panics on any text while it is parsed, evaluated or applied, and against parse errors
// without a position.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"show jobs where state = waiting and age > 1h sort by age desc limit 3", "explain job a/b", "config status",
		`show workers where jobs ~ "a\"b"`, "create team a token-hash x; remove team b",
		"set guarantee a in b 8 accelerators adjacent rack count 2", "remove guarantee a in b",
		"set rule k class urgent priority 1 max-wait 3s cross-region-price never",
		"set operators token-hash " + strings.Repeat("ab", 32), "set weights completion-time 1 fragmentation 0",
		"create team a; set team a max-accelerators 9; remove team a; remove rule x;",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var p *ParseError
		if q, err := Parse(text); err == nil {
			if r, err := Evaluate(q, testView(), Viewer{}); err == nil {
				_ = r.WriteTable(&bytes.Buffer{})
			}
		} else if !errors.As(err, &p) || p.Line < 1 || p.Column < 1 {
			t.Errorf("%q: %v", text, err)
		}
		if c, err := ParseChange(text); err == nil {
			_ = c.Summary()
			_ = c.ConfigEdit(nil, testTime)(&model.Config{})
		} else if !errors.As(err, &p) || p.Line < 1 || p.Column < 1 {
			t.Errorf("%q: %v", text, err)
		}
	})
}
