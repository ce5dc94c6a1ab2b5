package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/query"
)

// viewTimeout bounds how long a query or a change waits for the views of entries. Views that arrive later are left out.
const viewTimeout = 2 * time.Second

// postQuery evaluates a query on the views of all reachable entries.
func (s *Server) postQuery(r *http.Request, p principal) (reply, error) {
	var body api.QueryBody
	if err := decode(r, &body); err != nil {
		return reply{}, err
	}
	q, err := query.Parse(body.Query)
	if err != nil {
		return reply{}, apiError(http.StatusBadRequest, api.CodeBadRequest, "%v", err)
	}
	if q.OperatorsOnly() && !p.operator {
		return reply{}, apiError(http.StatusForbidden, api.CodeForbidden, "%v", query.ErrOperatorsOnly)
	}
	view := query.NewView(time.Now(), s.config.Current(), s.collectViews(r.Context()),
		s.explainedRecord(r.Context(), q, p))
	view.UnmetGuarantees = unmetGuarantees(view)
	result, err := query.Evaluate(q, view, query.Viewer{Team: p.team})
	switch {
	case errors.Is(err, query.ErrJobNotFound):
		return reply{}, apiError(http.StatusNotFound, api.CodeNotFound, "%v", err)
	case err != nil:
		return reply{}, apiError(http.StatusBadRequest, api.CodeBadRequest, "%v", err)
	}
	return reply{http.StatusOK, queryReply{Result: result, Incomplete: s.unreportedCells(view.Entries)}}, nil
}

// queryReply encodes to an api.QueryReply.
type queryReply struct {
	*query.Result
	Incomplete []string `json:"incomplete,omitempty"`
}

// unreportedCells lists the cells that have live entries but no view from their owner.
func (s *Server) unreportedCells(views []protocol.CellView) []string {
	now := time.Now()
	unreported := map[string]bool{s.table.Self(now).Cell: true}
	for _, peer := range s.table.LivePeers(now) {
		unreported[peer.State.Cell] = true
	}
	for _, v := range views {
		if v.Owner {
			delete(unreported, v.Cell)
		}
	}
	return slices.Sorted(maps.Keys(unreported))
}

// explainedRecord reads the record of the job that the query explains, if the job has finished: the view of the cell's
// owner contains finished jobs only for a while.
func (s *Server) explainedRecord(ctx context.Context, q *query.Query, p principal) []model.Job {
	key := q.ExplainedJob()
	if key == nil || !p.mayActFor(key.Team) {
		return nil
	}
	record, err := s.jobs.Get(ctx, *key)
	if err != nil || record.Job.State != model.JobFinished {
		return nil
	}
	return []model.Job{record.Job}
}

// collectViews fetches the views of this entry and all live peers concurrently.
func (s *Server) collectViews(ctx context.Context) []protocol.CellView {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	peers := s.table.LivePeers(time.Now())
	views := make([]*protocol.CellView, len(peers)+1)
	var calls sync.WaitGroup
	calls.Go(func() {
		if v, err := s.ownView(ctx); err == nil {
			views[0] = &v
		}
	})
	for i, peer := range peers {
		calls.Go(func() {
			v, err := s.fetchPeerView(ctx, peer.State.Address)
			if err != nil {
				klog.V(1).InfoS("Cell view not fetched", "entry", peer.State.Entry, "err", err)
				return
			}
			views[i+1] = &v
		})
	}
	calls.Wait()
	var out []protocol.CellView
	for _, v := range views {
		if v != nil {
			out = append(out, *v)
		}
	}
	return out
}

// postChange applies configuration commands, or only checks them if the body asks for a dry run.
func (s *Server) postChange(r *http.Request, p principal) (reply, error) {
	var body api.ChangeBody
	if err := decode(r, &body); err != nil {
		return reply{}, err
	}
	if !p.operator {
		return reply{}, apiError(http.StatusForbidden, api.CodeForbidden, "only operators may change the configuration")
	}
	change, err := query.ParseChange(body.Commands)
	if err != nil {
		return reply{}, apiError(http.StatusBadRequest, api.CodeBadRequest, "%v", err)
	}
	apply := s.repository.Change
	if body.DryRun {
		apply = s.repository.Preview
	}
	next, err := apply(r.Context(), body.Base, change.ConfigEdit(s.guaranteeCheck(r.Context()), time.Now()))
	var stale *config.StaleError
	if errors.As(err, &stale) {
		return reply{}, staleError(stale)
	}
	if err != nil {
		return reply{}, configError(err)
	}
	if !body.DryRun {
		s.config.Apply(next)
		klog.InfoS("Changed configuration", "version", next.Version, "base", body.Base, "summary", change.Summary())
	}
	return reply{http.StatusOK, api.ChangeReply{Version: next.Version, Summary: change.Summary()}}, nil
}

// guaranteeCheck returns a check that rejects guarantees which do not all fit into the workers of their cells. It
// fetches the workers once, on first use, for all retries of the change.
func (s *Server) guaranteeCheck(ctx context.Context) query.GuaranteeCheck {
	inventory := sync.OnceValue(func() map[string][]placement.Upstream {
		return workersByCell(s.collectViews(ctx), func(protocol.UpstreamView) bool { return true })
	})
	return func(c *model.Config) error {
		for _, cellName := range guaranteedCells(c) {
			workers, known := inventory()[cellName]
			if !known {
				return fmt.Errorf(
					"cell %s: no owner reports its workers, so its guarantees cannot be checked; try again when it can be reached",
					cellName)
			}
			if err := placement.CheckGuarantees(workers, cellName, c.Guarantees); err != nil {
				return err
			}
		}
		return nil
	}
}

// guaranteedCells returns the names of the cells that have guarantees, sorted.
func guaranteedCells(c *model.Config) []string {
	seen := make(map[string]bool)
	var out []string
	for _, g := range c.Guarantees {
		if !seen[g.Cell] {
			seen[g.Cell] = true
			out = append(out, g.Cell)
		}
	}
	sort.Strings(out)
	return out
}

// workersByCell returns the included workers of each cell, with all their accelerators free. It has an entry, perhaps
// an empty one, for each cell whose owner reported.
func workersByCell(views []protocol.CellView,
	include func(protocol.UpstreamView) bool) map[string][]placement.Upstream {
	out := make(map[string][]placement.Upstream)
	for _, v := range views {
		if !v.Owner || out[v.Cell] != nil {
			continue
		}
		out[v.Cell] = []placement.Upstream{}
		for _, w := range v.Upstreams {
			if w.Identity.Kind == protocol.KindWorker && include(w) {
				out[v.Cell] = append(out[v.Cell], placement.Upstream{ID: w.Identity.Agent, Incarnation: w.Identity.Incarnation,
					Rack: w.Identity.Rack, Units: w.Identity.Units, Free: w.Identity.Units})
			}
		}
	}
	return out
}

// unmetGuarantees lists the guarantees whose full count does not fit into the live workers of their cells, in the order
// of the configuration; earlier guarantees get workers first. Cells whose owner did not report are left out.
func unmetGuarantees(v *query.View) []query.UnmetGuarantee {
	inventory := workersByCell(v.Entries, func(w protocol.UpstreamView) bool {
		return w.Alive && !w.Leaving && !w.Quarantined && !v.Config.Evacuations.Contains(w.Identity.Cell)
	})
	var out []query.UnmetGuarantee
	fitting := make(map[string][]model.Guarantee)
	for _, g := range v.Config.Guarantees {
		workers, known := inventory[g.Cell]
		if !known {
			continue
		}
		missing := 0
		for ; missing < g.Count; missing++ {
			part := g
			part.Count = g.Count - missing
			if placement.CheckGuarantees(workers, g.Cell, append(fitting[g.Cell], part)) == nil {
				fitting[g.Cell] = append(fitting[g.Cell], part)
				break
			}
		}
		if missing > 0 {
			out = append(out, query.UnmetGuarantee{Guarantee: g, MissingBlocks: missing})
		}
	}
	return out
}

// getConfig returns the configuration in force at this entry, without token hashes.
func (s *Server) getConfig(_ *http.Request, p principal) (reply, error) {
	if !p.operator {
		return reply{}, apiError(http.StatusForbidden, api.CodeForbidden, "only operators may read the configuration")
	}
	return reply{http.StatusOK, config.WithoutTokens(s.config.Current())}, nil
}

// getConfigStatus returns the version that each reachable process has in force.
func (s *Server) getConfigStatus(r *http.Request, p principal) (reply, error) {
	if !p.operator {
		return reply{}, apiError(http.StatusForbidden, api.CodeForbidden,
			"only operators may read the configuration's status")
	}
	view := query.NewView(time.Now(), s.config.Current(), s.collectViews(r.Context()), nil)
	return reply{http.StatusOK, api.ConfigStatusReply{Rows: query.ConfigStatus(view)}}, nil
}
