package query

import (
	"time"

	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// table is one kind of thing that can be shown.
type table struct {
	columns       []column
	operatorsOnly bool
	rows          func(s *scope) [][]Value // one value for each column
}

// column is a field. Values, if any, are the only ones that it can have.
type column struct {
	name   string
	kind   kind
	values []string
}

func text(name string, values ...string) column { return column{name, kindText, values} }
func number(name string) column                 { return column{name: name, kind: kindNumber} }
func truth(name string) column                  { return column{name: name, kind: kindBool} }
func duration(name string) column               { return column{name: name, kind: kindDuration} }
func list(name string) column                   { return column{name: name, kind: kindList} }

var classes = []string{string(model.ClassUrgent), string(model.ClassNormal), string(model.ClassDeferrable)}

// The states of an upstream.
const (
	upstreamAlive       = "alive"
	upstreamLeaving     = "leaving"
	upstreamQuarantined = "quarantined"
	upstreamLost        = "lost"
)

var upstreamStates = []string{upstreamAlive, upstreamLeaving, upstreamQuarantined, upstreamLost}

var tables = map[string]*table{
	"jobs": {
		columns: []column{
			text("team"), text("id"), text("state", jobStates...), text("kind"), text("class", classes...),
			text("cell"), text("service"), number("accelerators"), text("adjacency"), number("slots"),
			number("attempt"), list("workers"), truth("guaranteed"), truth("idempotent"), truth("preemptible"),
			duration("age"), text("reason"),
		},
		rows: jobRows,
	},
	"workers": {
		columns: []column{
			text("worker"), text("region"), text("cell"), text("rack"), text("state", upstreamStates...),
			number("accelerators"), number("free"), list("jobs"), number("version"),
		},
		operatorsOnly: true,
		rows:          workerRows,
	},
	"upstreams": {
		columns: []column{
			text("upstream"), text("type", string(protocol.KindExecutor), string(protocol.KindWorker)), text("service"),
			text("region"), text("cell"), text("state", upstreamStates...), number("units"), number("free"),
			number("tasks"), number("version"),
		},
		operatorsOnly: true,
		rows:          upstreamRows,
	},
	"teams": {
		columns: []column{
			text("team"), number("max_accelerators"), number("tokens"), number("guaranteed"), number("unmet"),
			number("in_use"), number("waiting"), number("running"),
		},
		rows: teamRows,
	},
	"guarantees": {
		columns: []column{
			text("team"), text("cell"), number("accelerators"), text("adjacency"), number("count"), number("unmet"),
			number("team_in_use"),
		},
		rows: guaranteeRows,
	},
	"rules": {
		columns: []column{
			text("kind"), text("class", classes...), number("priority"), duration("max_wait"),
			duration("cross_region_price"),
		},
		rows: ruleRows,
	},
	"entries": {
		columns: []column{
			text("entry"), text("region"), text("cell"), truth("owner"), number("jobs"), number("workers"),
			number("version"),
		},
		operatorsOnly: true,
		rows:          entryRows,
	},
}

var statusTable = &table{
	columns:       []column{text("process"), text("role"), text("region"), text("cell"), number("version")},
	operatorsOnly: true,
	rows:          statusRows,
}

func jobRows(s *scope) [][]Value {
	rows := make([][]Value, 0, len(s.jobs))
	for i := range s.jobs {
		r := &s.jobs[i]
		spec := &r.job.Spec
		agents := make([]string, len(r.job.Members))
		for m := range r.job.Members {
			agents[m] = r.job.Members[m].Agent
		}
		rows = append(rows, []Value{
			textValue(spec.Key.Team), textValue(spec.Key.ID), textValue(r.state), textValue(spec.Kind),
			textValue(string(s.config.Rule(spec.Kind).Class)), textValue(r.job.Cell), textValue(spec.Service),
			numberValue(spec.Shape.Accelerators), textValue(string(spec.Shape.Adjacency)),
			numberValue(spec.Shape.Slots), numberValue(r.job.Attempt), listValue(agents),
			boolValue(r.job.Guaranteed), boolValue(spec.Idempotent), boolValue(spec.Preemptible),
			durationValue(s.age(r)), textValue(r.reason),
		})
	}
	return rows
}

// age is the time from the submission of a job until its end, or until now.
func (s *scope) age(r *jobRow) time.Duration {
	end := s.Now
	if !r.job.Finished.IsZero() {
		end = r.job.Finished
	}
	return max(0, end.Sub(r.job.Submitted)).Truncate(time.Second)
}

func upstreamState(w *protocol.UpstreamView) string {
	switch {
	case !w.Alive:
		return upstreamLost
	case w.Leaving:
		return upstreamLeaving
	case w.Quarantined:
		return upstreamQuarantined
	}
	return upstreamAlive
}

func workerRows(s *scope) [][]Value {
	var rows [][]Value
	for i := range s.Upstreams {
		w := &s.Upstreams[i]
		if w.Identity.Kind != protocol.KindWorker {
			continue
		}
		var jobs []string
		for _, t := range w.Tasks {
			if !t.Phase.Terminal() && t.Phase != protocol.TaskRemoved {
				jobs = append(jobs, t.Job.String())
			}
		}
		rows = append(rows, []Value{
			textValue(w.Identity.Agent), textValue(w.Identity.Region), textValue(w.Identity.Cell),
			textValue(w.Identity.Rack), textValue(upstreamState(w)), numberValue(w.Identity.Units),
			numberValue(w.Free), listValue(jobs), numberValue(w.ConfigVersion),
		})
	}
	return rows
}

func upstreamRows(s *scope) [][]Value {
	rows := make([][]Value, 0, len(s.Upstreams))
	for i := range s.Upstreams {
		w := &s.Upstreams[i]
		rows = append(rows, []Value{
			textValue(w.Identity.Agent), textValue(string(w.Identity.Kind)), textValue(w.Identity.Service),
			textValue(w.Identity.Region), textValue(w.Identity.Cell), textValue(upstreamState(w)),
			numberValue(w.Identity.Units), numberValue(w.Free), numberValue(len(w.Tasks)),
			numberValue(w.ConfigVersion),
		})
	}
	return rows
}

func teamRows(s *scope) [][]Value {
	var rows [][]Value
	for _, t := range s.config.Teams {
		if !s.viewer.sees(t.Name) {
			continue
		}
		guaranteed, unmet := 0, 0
		for _, g := range s.config.Guarantees {
			if g.Team == t.Name {
				guaranteed += g.Shape.Accelerators * g.Count
				unmet += s.unmet(g)
			}
		}
		waiting, running := 0, 0
		for i := range s.jobs {
			switch r := &s.jobs[i]; {
			case r.job.Spec.Key.Team != t.Name:
			case r.state == stateWaiting:
				waiting++
			case r.holdsUnits():
				running++
			}
		}
		rows = append(rows, []Value{
			textValue(t.Name), nullUnless(t.MaxAccelerators > 0, numberValue(t.MaxAccelerators)),
			numberValue(len(t.TokenHashes)), numberValue(guaranteed), numberValue(unmet),
			numberValue(s.inUse(t.Name, "", false)), numberValue(waiting), numberValue(running),
		})
	}
	return rows
}

// inUse sums the accelerators that a team's jobs hold in a cell, or in all cells if none is given.
func (s *scope) inUse(team, cell string, guaranteedOnly bool) int {
	sum := 0
	for i := range s.jobs {
		r := &s.jobs[i]
		if r.job.Spec.Key.Team == team && (cell == "" || r.job.Cell == cell) && r.holdsUnits() &&
			(r.job.Guaranteed || !guaranteedOnly) {
			sum += r.job.Spec.Shape.Accelerators
		}
	}
	return sum
}

// unmet returns the number of missing blocks of a guarantee.
func (s *scope) unmet(g model.Guarantee) int {
	for _, u := range s.UnmetGuarantees {
		if u.Guarantee.Team == g.Team && u.Guarantee.Cell == g.Cell && u.Guarantee.Shape == g.Shape {
			return u.MissingBlocks
		}
	}
	return 0
}

func guaranteeRows(s *scope) [][]Value {
	var rows [][]Value
	for _, g := range s.config.Guarantees {
		if s.viewer.sees(g.Team) {
			rows = append(rows, []Value{
				textValue(g.Team), textValue(g.Cell), numberValue(g.Shape.Accelerators),
				textValue(string(g.Shape.Adjacency)), numberValue(g.Count), numberValue(s.unmet(g)),
				numberValue(s.inUse(g.Team, g.Cell, true)),
			})
		}
	}
	return rows
}

func ruleRows(s *scope) [][]Value {
	var rows [][]Value
	for _, r := range s.config.Rules {
		rows = append(rows, []Value{
			textValue(r.Kind), textValue(string(r.Class)), numberValue(r.Priority),
			nullUnless(r.MaxWait > 0, durationValue(r.MaxWait)),
			nullUnless(r.CrossRegionPrice >= 0, durationValue(r.CrossRegionPrice)),
		})
	}
	return rows
}

func entryRows(s *scope) [][]Value {
	var rows [][]Value
	for _, e := range s.Entries {
		rows = append(rows, []Value{
			textValue(e.Entry), textValue(e.Region), textValue(e.Cell), boolValue(e.Owner), numberValue(len(e.Jobs)),
			numberValue(len(e.Upstreams)), numberValue(e.ConfigVersion),
		})
	}
	return rows
}

// ConfigStatus lists the configuration version that each known process has in force.
func ConfigStatus(v *View) []api.ConfigStatusRow {
	rows := make([]api.ConfigStatusRow, 0, len(v.Entries)+len(v.Upstreams))
	for _, e := range v.Entries {
		rows = append(rows, api.ConfigStatusRow{
			Process: e.Entry, Role: "entry", Region: e.Region, Cell: e.Cell, Version: e.ConfigVersion,
		})
	}
	for _, w := range v.Upstreams {
		rows = append(rows, api.ConfigStatusRow{
			Process: w.Identity.Agent, Role: "agent", Region: w.Identity.Region, Cell: w.Identity.Cell,
			Version: w.ConfigVersion,
		})
	}
	return rows
}

func statusRows(s *scope) [][]Value {
	var rows [][]Value
	for _, r := range ConfigStatus(s.View) {
		rows = append(rows, []Value{
			textValue(r.Process), textValue(r.Role), textValue(r.Region), textValue(r.Cell), numberValue(r.Version),
		})
	}
	return rows
}
