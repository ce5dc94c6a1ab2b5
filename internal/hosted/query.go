package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"masticcart.example/masticcart/internal/configcheck"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/query"
	"masticcart.example/masticcart/internal/rpc"
	"masticcart.example/masticcart/internal/scheduler"
)

type explainRequest struct {
	Job string `json:"job"`
}

type queryRequest struct {
	Text string `json:"text"`
}

// Explain returns the leader's explanation of a job's state. It asks the entries with the given RPC addresses one after
// the other until the leader responds.
func Explain(ctx context.Context, addresses []string, job string) (*scheduler.Explanation, error) {
	var e scheduler.Explanation
	return &e, callLeader(ctx, addresses, methodExplain, explainRequest{Job: job}, &e)
}

// Query evaluates a query at the leader, which it finds as Explain does. It returns the JSON of a query.Result.
func Query(ctx context.Context, addresses []string, text string) (json.RawMessage, error) {
	var result json.RawMessage
	return result, callLeader(ctx, addresses, methodQuery, queryRequest{Text: text}, &result)
}

// InForce returns the leader's configuration, without keys, and the workers that it knows. It finds the leader as Explain
// does.
func InForce(ctx context.Context, addresses []string) (*configcheck.InForce, error) {
	var c configcheck.InForce
	return &c, callLeader(ctx, addresses, methodInForce, empty{}, &c)
}

// inForce returns the configuration in force and the accelerators of the known workers by service.
func inForce(s *scheduler.Service) (*configcheck.InForce, error) {
	state := s.View()
	if state == nil {
		return nil, errNoLeader
	}
	fleet := configcheck.Fleet{}
	for i := range state.Workers {
		if w := &state.Workers[i].Identity; w.Service != "" {
			fleet[w.Service] += w.Units
		}
	}
	return &configcheck.InForce{Catalog: configcheck.HashKeys(state.Catalog), Fleet: fleet}, nil
}

// callLeader calls the entries one after the other until one responds without an error.
func callLeader(ctx context.Context, addresses []string, method string, args, reply any) error {
	var errs []error
	for _, address := range addresses {
		err := callEntry(ctx, address, method, args, reply)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func callEntry(ctx context.Context, address, method string, args, reply any) error {
	conn, err := rpc.Dial(ctx, address, nil, nil, &rpc.Meter{})
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Call(ctx, method, args, reply)
}

// evaluateQuery evaluates a query on the leader's state. Operators reach the RPC listener on the platform's own
// network, so the query sees all teams.
func evaluateQuery(s *scheduler.Service, text string) (*query.Result, error) {
	q, err := query.Parse(text)
	if err != nil {
		return nil, err
	}
	state := s.View()
	if state == nil {
		return nil, errNoLeader
	}
	reply := protocol.CellView{Owner: true, ConfigVersion: state.Catalog.Version, Upstreams: state.Workers,
		LostCoreSeconds: state.LostCoreSeconds, YieldedCoreSeconds: state.YieldedCoreSeconds}
	var finished []model.Job
	for _, j := range state.Jobs {
		if j.Job.Outcome != nil {
			finished = append(finished, j.Job)
		} else {
			reply.Jobs = append(reply.Jobs, j)
		}
	}
	config := scheduler.ConfigView(state.Catalog)
	config.Evacuations = state.Evacuations
	view := query.NewView(time.Now(), config, []protocol.CellView{reply}, finished)
	for _, g := range config.Guarantees {
		if n := state.UnmetGuarantees[g.Team]; n > 0 {
			view.UnmetGuarantees = append(view.UnmetGuarantees, query.UnmetGuarantee{Guarantee: g, MissingBlocks: n})
		}
	}
	return query.Evaluate(q, view, query.Viewer{})
}
