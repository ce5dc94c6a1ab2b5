package query

import (
	"maps"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// table is one of the tables that a query can show.
type table struct {
	columns       []column
	operatorsOnly bool
	rows          func(s *queryScope) [][]Value // one value for each column
}

// column is one field of a table. If values is set, a condition on the column must use one of them, except with the
// substring operator ~.
type column struct {
	name   string
	kind   valueKind
	values []string
}

func textColumn(name string, values ...string) column { return column{name, kindText, values} }
func numberColumn(name string) column                 { return column{name: name, kind: kindNumber} }
func boolColumn(name string) column                   { return column{name: name, kind: kindBool} }
func durationColumn(name string) column               { return column{name: name, kind: kindDuration} }
func listColumn(name string) column                   { return column{name: name, kind: kindList} }

var classValues = []string{string(model.ClassUrgent), string(model.ClassNormal), string(model.ClassDeferrable)}

// States of an upstream.
const (
	upstreamAlive       = "alive"
	upstreamLeaving     = "leaving"
	upstreamQuarantined = "quarantined"
	upstreamEvacuated   = "evacuated"
	upstreamLost        = "lost"
)

var upstreamStates = []string{upstreamAlive, upstreamLeaving, upstreamQuarantined, upstreamEvacuated, upstreamLost}

var tables = map[string]*table{
	"jobs": {
		columns: []column{
			textColumn("team"), textColumn("id"), textColumn("state", jobStates...), textColumn("kind"),
			textColumn("class", classValues...), textColumn("cell"), textColumn("service"),
			numberColumn("accelerators"), textColumn("adjacency"), numberColumn("slots"), numberColumn("attempt"),
			listColumn("workers"), boolColumn("guaranteed"), boolColumn("idempotent"), boolColumn("preemptible"),
			durationColumn("age"), textColumn("reason"),
		},
		rows: jobRows,
	},
	"workers": {
		columns: []column{
			textColumn("worker"), textColumn("region"), textColumn("cell"), textColumn("rack"),
			textColumn("state", upstreamStates...), numberColumn("accelerators"), numberColumn("free"),
			listColumn("jobs"), numberColumn("version"), numberColumn("speed"),
		},
		operatorsOnly: true,
		rows:          workerRows,
	},
	"upstreams": {
		columns: []column{
			textColumn("upstream"), textColumn("type", string(protocol.KindExecutor), string(protocol.KindWorker)),
			textColumn("service"), textColumn("region"), textColumn("cell"), textColumn("state", upstreamStates...),
			numberColumn("units"), numberColumn("free"), numberColumn("tasks"), numberColumn("version"),
		},
		operatorsOnly: true,
		rows:          upstreamRows,
	},
	"teams": {
		columns: []column{
			textColumn("team"), numberColumn("max_accelerators"), numberColumn("tokens"), numberColumn("guaranteed"),
			numberColumn("unmet"), numberColumn("in_use"), numberColumn("waiting"), numberColumn("running"),
		},
		rows: teamRows,
	},
	"guarantees": {
		columns: []column{
			textColumn("team"), textColumn("cell"), numberColumn("accelerators"), textColumn("adjacency"),
			numberColumn("count"), numberColumn("unmet"), numberColumn("team_in_use"),
		},
		rows: guaranteeRows,
	},
	"rules": {
		columns: []column{
			textColumn("kind"), textColumn("class", classValues...), numberColumn("priority"), durationColumn("max_wait"),
			durationColumn("cross_region_price"),
		},
		rows: ruleRows,
	},
	"entries": {
		columns: []column{
			textColumn("entry"), textColumn("region"), textColumn("cell"), boolColumn("owner"), numberColumn("jobs"),
			numberColumn("workers"), numberColumn("version"),
		},
		operatorsOnly: true,
		rows:          entryRows,
	},
	"sharing": {
		columns: []column{
			textColumn("team"), numberColumn("guaranteed"), numberColumn("within_guarantee"), numberColumn("borrowed"),
			numberColumn("yielded_core_seconds"),
		},
		rows: sharingRows,
	},
	"losses": {
		columns:       []column{textColumn("cause"), numberColumn("core_seconds")},
		operatorsOnly: true,
		rows:          lossRows,
	},
	"evacuations": {
		columns: []column{
			textColumn("cell"), textColumn("since"), numberColumn("version"), numberColumn("workers"),
			numberColumn("runs"), numberColumn("in_use"), boolColumn("empty"),
		},
		operatorsOnly: true,
		rows:          evacuationRows,
	},
}

var statusTable = &table{
	columns: []column{
		textColumn("process"), textColumn("role"), textColumn("region"), textColumn("cell"), numberColumn("version"),
	},
	operatorsOnly: true,
	rows:          statusRows,
}

func jobRows(s *queryScope) [][]Value {
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

// age returns the time from the submission of a job until it finished, or until now, in whole seconds.
func (s *queryScope) age(r *jobRow) time.Duration {
	end := s.Now
	if !r.job.Finished.IsZero() {
		end = r.job.Finished
	}
	return max(0, end.Sub(r.job.Submitted)).Truncate(time.Second)
}

func (s *queryScope) upstreamState(u *protocol.UpstreamView) string {
	switch {
	case !u.Alive:
		return upstreamLost
	case u.Leaving:
		return upstreamLeaving
	case s.config.Evacuations.Contains(u.Identity.Cell):
		return upstreamEvacuated
	case u.Quarantined:
		return upstreamQuarantined
	}
	return upstreamAlive
}

func workerRows(s *queryScope) [][]Value {
	var rows [][]Value
	for i := range s.Upstreams {
		w := &s.Upstreams[i]
		if w.Identity.Kind != protocol.KindWorker {
			continue
		}
		jobs := openJobs(w)
		rows = append(rows, []Value{
			textValue(w.Identity.Agent), textValue(w.Identity.Region), textValue(w.Identity.Cell),
			textValue(w.Identity.Rack), textValue(s.upstreamState(w)), numberValue(w.Identity.Units),
			numberValue(w.Free), listValue(jobs), numberValue(w.ConfigVersion), numberValue(w.Speed),
		})
	}
	return rows
}

// openJobs returns the job of each task of a worker that has not ended.
func openJobs(w *protocol.UpstreamView) []string {
	var jobs []string
	for _, t := range w.Tasks {
		if !t.Phase.Terminal() && t.Phase != protocol.TaskRemoved {
			jobs = append(jobs, t.Job.String())
		}
	}
	return jobs
}

// evacuationRows lists the evacuated cells with what is left there. A lost worker counts while its tasks may be running.
func evacuationRows(s *queryScope) [][]Value {
	var rows [][]Value
	for _, r := range s.config.Evacuations.Requests() {
		workers, runs, inUse := 0, 0, 0
		for i := range s.Upstreams {
			w := &s.Upstreams[i]
			n := len(openJobs(w))
			if w.Identity.Kind != protocol.KindWorker || w.Identity.Cell != r.Cell || !w.Alive && n == 0 {
				continue
			}
			workers, runs, inUse = workers+1, runs+n, inUse+max(0, w.Identity.Units-w.Free)
		}
		rows = append(rows, []Value{
			textValue(r.Cell), textValue(r.Since.UTC().Format(time.RFC3339)), numberValue(int64(r.Revision)),
			numberValue(workers), numberValue(runs), numberValue(inUse), boolValue(runs == 0 && inUse == 0),
		})
	}
	return rows
}

func upstreamRows(s *queryScope) [][]Value {
	rows := make([][]Value, 0, len(s.Upstreams))
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		rows = append(rows, []Value{
			textValue(u.Identity.Agent), textValue(string(u.Identity.Kind)), textValue(u.Identity.Service),
			textValue(u.Identity.Region), textValue(u.Identity.Cell), textValue(s.upstreamState(u)),
			numberValue(u.Identity.Units), numberValue(u.Free), numberValue(len(u.Tasks)),
			numberValue(u.ConfigVersion),
		})
	}
	return rows
}

func teamRows(s *queryScope) [][]Value {
	var rows [][]Value
	for _, t := range s.config.Teams {
		if !s.viewer.canSee(t.Name) {
			continue
		}
		guaranteed, unmet := 0, 0
		for _, g := range s.config.Guarantees {
			if g.Team == t.Name {
				guaranteed += g.Shape.Accelerators * g.Count
				unmet += s.missingBlocks(g)
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
			numberValue(s.acceleratorsInUse(t.Name, "", false)), numberValue(waiting), numberValue(running),
		})
	}
	return rows
}

// sharingRows lists for each team the accelerators in use within its guarantee and beyond it, and the work that it has
// lost by preemption for other teams. Only urgent work is within a guarantee.
func sharingRows(s *queryScope) [][]Value {
	var rows [][]Value
	for _, t := range s.config.Teams {
		if !s.viewer.canSee(t.Name) {
			continue
		}
		guaranteed := 0
		for _, g := range s.config.Guarantees {
			if g.Team == t.Name {
				guaranteed += g.Shape.Accelerators * g.Count
			}
		}
		within, inUse, yielded := 0, 0, 0.0
		for i := range s.jobs {
			r := &s.jobs[i]
			if r.job.Spec.Key.Team != t.Name || !r.holdsUnits() {
				continue
			}
			inUse += r.job.Spec.Shape.Accelerators
			if r.job.Guaranteed || s.config.Rule(r.job.Spec.Kind).Class == model.ClassUrgent {
				within += r.job.Spec.Shape.Accelerators
			}
		}
		within = min(within, guaranteed)
		for _, e := range s.Entries {
			yielded += e.YieldedCoreSeconds[t.Name]
		}
		rows = append(rows, []Value{textValue(t.Name), numberValue(guaranteed), numberValue(within),
			numberValue(inUse - within), numberValue(int64(yielded))})
	}
	return rows
}

// acceleratorsInUse returns the number of accelerators that a team's jobs hold in a cell, or in all cells if cell is
// empty.
func (s *queryScope) acceleratorsInUse(team, cell string, guaranteedOnly bool) int {
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

// missingBlocks returns how many blocks of a guarantee the cell cannot hold at the moment.
func (s *queryScope) missingBlocks(g model.Guarantee) int {
	for _, u := range s.UnmetGuarantees {
		if u.Guarantee.Team == g.Team && u.Guarantee.Cell == g.Cell && u.Guarantee.Shape == g.Shape {
			return u.MissingBlocks
		}
	}
	return 0
}

func guaranteeRows(s *queryScope) [][]Value {
	var rows [][]Value
	for _, g := range s.config.Guarantees {
		if s.viewer.canSee(g.Team) {
			rows = append(rows, []Value{
				textValue(g.Team), textValue(g.Cell), numberValue(g.Shape.Accelerators),
				textValue(string(g.Shape.Adjacency)), numberValue(g.Count), numberValue(s.missingBlocks(g)),
				numberValue(s.acceleratorsInUse(g.Team, g.Cell, true)),
			})
		}
	}
	return rows
}

func ruleRows(s *queryScope) [][]Value {
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

func entryRows(s *queryScope) [][]Value {
	var rows [][]Value
	for _, e := range s.Entries {
		rows = append(rows, []Value{
			textValue(e.Entry), textValue(e.Region), textValue(e.Cell), boolValue(e.Owner), numberValue(len(e.Jobs)),
			numberValue(len(e.Upstreams)), numberValue(e.ConfigVersion),
		})
	}
	return rows
}

// lossRows lists the lost work of all entries by cause.
func lossRows(s *queryScope) [][]Value {
	sum := map[string]float64{}
	for _, e := range s.Entries {
		for cause, lost := range e.LostCoreSeconds {
			sum[cause] += lost
		}
	}
	var rows [][]Value
	for _, cause := range slices.Sorted(maps.Keys(sum)) {
		rows = append(rows, []Value{textValue(cause), numberValue(int64(sum[cause]))})
	}
	return rows
}

// ConfigStatus lists the configuration version in force at each process of the view.
func ConfigStatus(v *View) []api.ConfigStatusRow {
	rows := make([]api.ConfigStatusRow, 0, len(v.Entries)+len(v.Upstreams))
	for _, e := range v.Entries {
		rows = append(rows, api.ConfigStatusRow{
			Process: e.Entry, Role: "entry", Region: e.Region, Cell: e.Cell, Version: e.ConfigVersion,
		})
	}
	for _, u := range v.Upstreams {
		rows = append(rows, api.ConfigStatusRow{
			Process: u.Identity.Agent, Role: "agent", Region: u.Identity.Region, Cell: u.Identity.Cell,
			Version: u.ConfigVersion,
		})
	}
	return rows
}

func statusRows(s *queryScope) [][]Value {
	var rows [][]Value
	for _, r := range ConfigStatus(s.View) {
		rows = append(rows, []Value{
			textValue(r.Process), textValue(r.Role), textValue(r.Region), textValue(r.Cell), numberValue(r.Version),
		})
	}
	return rows
}
