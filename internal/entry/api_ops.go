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

// viewTimeout bounds how long a query waits for the other entries. Those that do not answer are left out.
const viewTimeout = 2 * time.Second

// postQuery answers a query from the views of all entries that can be reached.
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
	view := query.NewView(time.Now(), s.config.Current(), s.cellViews(r.Context()), s.explained(r.Context(), q, p))
	view.Unmet = unmetGuarantees(view)
	result, err := query.Evaluate(q, view, query.Viewer{Team: p.team})
	switch {
	case errors.Is(err, query.ErrJobNotFound):
		return reply{}, apiError(http.StatusNotFound, api.CodeNotFound, "%v", err)
	case err != nil:
		return reply{}, apiError(http.StatusBadRequest, api.CodeBadRequest, "%v", err)
	}
	return reply{http.StatusOK, queryReply{Result: result, Incomplete: s.silentCells(view.Entries)}}, nil
}

// queryReply is api.QueryReply as the server builds it.
type queryReply struct {
	*query.Result
	Incomplete []string `json:"incomplete,omitempty"`
}

// silentCells lists the cells that have live entries but whose owner did not answer.
func (s *Server) silentCells(views []protocol.CellView) []string {
	now := time.Now()
	silent := map[string]bool{s.table.Self(now).Cell: true}
	for _, peer := range s.table.LivePeers(now) {
		silent[peer.State.Cell] = true
	}
	for _, v := range views {
		if v.Owner {
			delete(silent, v.Cell)
		}
	}
	return slices.Sorted(maps.Keys(silent))
}

// explained reads the record of the job that the query explains, which owners show only for a while.
func (s *Server) explained(ctx context.Context, q *query.Query, p principal) []model.Job {
	key := q.Explains()
	if key == nil || !p.mayActFor(key.Team) {
		return nil
	}
	record, err := s.jobs.Get(ctx, *key)
	if err != nil || record.Job.State != model.JobFinished {
		return nil
	}
	return []model.Job{record.Job}
}

// cellViews asks this entry and all live peers for their views at the same time.
func (s *Server) cellViews(ctx context.Context) []protocol.CellView {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	peers := s.table.LivePeers(time.Now())
	views := make([]*protocol.CellView, len(peers)+1)
	var calls sync.WaitGroup
	calls.Go(func() {
		if v, err := s.wholeView(ctx); err == nil {
			views[0] = &v
		}
	})
	for i, peer := range peers {
		calls.Go(func() {
			v, err := s.peerView(ctx, peer.State.Address)
			if err != nil {
				klog.V(1).InfoS("View not fetched", "entry", peer.State.Entry, "err", err)
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

// postChange applies operators' commands to the configuration.
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
	next, err := apply(r.Context(), body.Base, change.Edit(s.guaranteeCheck(r.Context())))
	var stale *config.StaleError
	if errors.As(err, &stale) {
		return reply{}, staleError(stale)
	}
	if err != nil {
		return reply{}, fromConfig(err)
	}
	if !body.DryRun {
		s.config.Apply(next)
		klog.InfoS("Changed configuration", "version", next.Version, "base", body.Base, "summary", change.Summary())
	}
	return reply{http.StatusOK, api.ChangeReply{Version: next.Version, Summary: change.Summary()}}, nil
}

// guaranteeCheck refuses guarantees that cannot be packed into the workers that the cells know. The inventory
// is read once, when the change first needs it.
func (s *Server) guaranteeCheck(ctx context.Context) query.CheckFunc {
	inventory := sync.OnceValue(func() map[string][]placement.Upstream {
		return workersByCell(s.cellViews(ctx), func(protocol.UpstreamView) bool { return true })
	})
	return func(c *model.Config) error {
		for _, cellName := range guaranteedCells(c) {
			workers, known := inventory()[cellName]
			if !known {
				return fmt.Errorf("cell %s: no owner reports its workers, so its guarantees cannot be checked; try again when it can be reached", cellName)
			}
			if err := placement.CheckGuarantees(workers, cellName, c.Guarantees); err != nil {
				return err
			}
		}
		return nil
	}
}

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

// workersByCell returns the workers that owners report; a cell whose owner answered is present even if empty.
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

// unmetGuarantees lists the guarantees that the live workers cannot hold, in the order of the configuration.
func unmetGuarantees(v *query.View) []query.UnmetGuarantee {
	inventory := workersByCell(v.Entries, func(w protocol.UpstreamView) bool {
		return w.Alive && !w.Leaving && !w.Quarantined
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
			out = append(out, query.UnmetGuarantee{Guarantee: g, Missing: missing})
		}
	}
	return out
}

func (s *Server) getConfig(_ *http.Request, p principal) (reply, error) {
	if !p.operator {
		return reply{}, apiError(http.StatusForbidden, api.CodeForbidden, "only operators may read the configuration")
	}
	return reply{http.StatusOK, config.WithoutTokens(s.config.Current())}, nil
}

func (s *Server) getConfigStatus(r *http.Request, p principal) (reply, error) {
	if !p.operator {
		return reply{}, apiError(http.StatusForbidden, api.CodeForbidden, "only operators may read the configuration's status")
	}
	view := query.NewView(time.Now(), s.config.Current(), s.cellViews(r.Context()), nil)
	return reply{http.StatusOK, api.ConfigStatusReply{Rows: query.ConfigStatus(view)}}, nil
}
