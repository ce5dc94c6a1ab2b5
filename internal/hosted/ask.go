package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"time"

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

// Explain asks the entries at the addresses, which are those of their RPC listeners, one after the other; the one that
// leads answers.
func Explain(ctx context.Context, addresses []string, job string) (*scheduler.Explanation, error) {
	var e scheduler.Explanation
	return &e, askLeader(ctx, addresses, methodExplain, explainRequest{Job: job}, &e)
}

// Query evaluates a query at the entry that leads, as Explain does. The answer marshals to a query result.
func Query(ctx context.Context, addresses []string, text string) (json.RawMessage, error) {
	var result json.RawMessage
	return result, askLeader(ctx, addresses, methodQuery, queryRequest{Text: text}, &result)
}

// askLeader calls the entries one after the other until one answers without an error.
func askLeader(ctx context.Context, addresses []string, method string, args, reply any) error {
	var problems []error
	for _, address := range addresses {
		err := ask(ctx, address, method, args, reply)
		if err == nil {
			return nil
		}
		problems = append(problems, err)
	}
	return errors.Join(problems...)
}

func ask(ctx context.Context, address, method string, args, reply any) error {
	conn, err := rpc.Dial(ctx, address, nil, nil, &rpc.Meter{})
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Call(ctx, method, args, reply)
}

// evaluate answers a query from the leader's state. Operators ask on the platform's own network, so they see everything.
func evaluate(s *scheduler.Service, text string) (*query.Result, error) {
	q, err := query.Parse(text)
	if err != nil {
		return nil, err
	}
	jobs, workers, catalog, leads := s.View()
	if !leads {
		return nil, errNoLeader
	}
	reply := protocol.CellView{Owner: true, ConfigVersion: catalog.Version, Upstreams: workers}
	var finished []model.Job
	for i := range jobs {
		if jobs[i].Job.Outcome != nil {
			finished = append(finished, jobs[i].Job)
		} else {
			reply.Jobs = append(reply.Jobs, jobs[i])
		}
	}
	view := query.NewView(time.Now(), scheduler.ConfigView(catalog), []protocol.CellView{reply}, finished)
	return query.Evaluate(q, view, query.Viewer{})
}
