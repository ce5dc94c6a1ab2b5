package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/cell"
	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/clientlimit"
	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/membership"
	"masticcart.example/masticcart/internal/routing"
	"masticcart.example/masticcart/internal/settings"
)

const (
	// bodyTimeout bounds how long a caller may take to send the request body.
	bodyTimeout = 10 * time.Second
	// bodyExpansion is the memory for a body and its copies as a multiple of the body's size: the buffer and the one that it
	// has outgrown, the decoded payload, the encoded record, and the request to the store with the record as base64 text.
	bodyExpansion = 8
	// textExpansion is bodyExpansion for a query or for commands, whose tokens and syntax tree are larger than the text.
	textExpansion = 192
	// idleTimeout is how long an idle keep-alive connection stays open.
	idleTimeout = 2 * time.Minute
)

// Server is the HTTP API of an entry.
type Server struct {
	settings   *settings.Entry
	config     *ConfigSync
	repository *config.Repository
	jobs       *jobs.Store
	router     *routing.Router
	cell       *cell.Service
	table      *membership.Table
	peers      *Peers
	agents     *Agents
	scope      tally.Scope

	leaving  atomic.Bool
	draining chan struct{} // closed by EndLongPolls
}

// Handler returns the HTTP handler of the API, with the liveness and readiness checks.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", s.getLiveness).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.getReadiness).Methods(http.MethodGet)
	route := func(method, path string, h apiHandler) {
		r.Handle(path, s.apiRoute(path, h)).Methods(method)
	}
	route(http.MethodPost, api.PathRequests, s.postRequest)
	route(http.MethodPost, api.PathJobs, s.postJob)
	route(http.MethodGet, api.PathJob, s.getJob)
	route(http.MethodGet, api.PathJobWait, s.waitJob)
	route(http.MethodPost, api.PathJobCancel, s.cancelJob)
	route(http.MethodPost, api.PathQuery, s.postQuery)
	route(http.MethodPost, api.PathChanges, s.postChange)
	route(http.MethodGet, api.PathConfig, s.getConfig)
	route(http.MethodGet, api.PathConfigStatus, s.getConfigStatus)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.writeError(w, apiError(http.StatusNotFound, api.CodeNotFound, "no such path"))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, apiError(http.StatusMethodNotAllowed, api.CodeBadRequest, "method %s is not allowed here", r.Method))
	})
	return r
}

// getLiveness shows that the process serves HTTP. It does not depend on peers, agents or the platform.
func (s *Server) getLiveness(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, http.StatusOK, "live")
}

// getReadiness tells the balancer whether to send callers here.
func (s *Server) getReadiness(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.leaving.Load():
		s.writeError(w, apiError(http.StatusServiceUnavailable, api.CodeUnavailable, "this entry is leaving"))
	case !s.config.Ready():
		s.writeError(w, apiError(http.StatusServiceUnavailable, api.CodeUnavailable, "the configuration is not known yet"))
	default:
		s.writeJSON(w, http.StatusOK, "ready")
	}
}

// MarkLeaving makes the readiness check fail, so that the balancer sends no more callers here.
func (s *Server) MarkLeaving() { s.leaving.Store(true) }

// EndLongPolls makes all long polls reply at once with the current state of their jobs.
func (s *Server) EndLongPolls() { close(s.draining) }

// reply is an HTTP status and the value that is encoded as the body.
type reply struct {
	status int
	body   any
}

// apiHandler serves one authenticated call.
type apiHandler func(r *http.Request, p principal) (reply, error)

// apiRoute authenticates the call, reads the request body, runs h, records metrics and writes the reply.
func (s *Server) apiRoute(path string, h apiHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started := time.Now()
		out, err := s.authenticateAndCall(w, r, path, h)
		scope := s.scope.Tagged(map[string]string{"path": path})
		scope.Timer("latency").Record(time.Since(started))
		if err != nil {
			scope.Tagged(map[string]string{"code": codeOf(err)}).Counter("errors").Inc(1)
			s.writeError(w, err)
			return
		}
		s.writeJSON(w, out.status, out.body)
	})
}

// authenticateAndCall authenticates the caller, reads the whole body into the request's context, where decode finds it,
// and calls h.
func (s *Server) authenticateAndCall(w http.ResponseWriter, r *http.Request, path string, h apiHandler) (reply, error) {
	if !s.config.Ready() {
		return reply{}, apiError(http.StatusServiceUnavailable, api.CodeUnavailable,
			"the configuration is not known yet; nothing was accepted")
	}
	p, err := s.authenticate(r)
	if err != nil {
		return reply{}, err
	}
	expansion := int64(bodyExpansion)
	if path == api.PathQuery || path == api.PathChanges {
		expansion = textExpansion
	}
	body, err := clientlimit.ReadBody(w, r, s.settings.MaxBodyBytes, expansion)
	if err != nil {
		return reply{}, bodyError(err)
	}
	return h(r.WithContext(context.WithValue(r.Context(), bodyKey{}, body)), p)
}

// bodyKey is the context key of the request body.
type bodyKey struct{}

// bodyError converts an error from reading the request body to an API error.
func bodyError(err error) error {
	switch {
	case errors.Is(err, clientlimit.ErrTooLarge):
		return apiError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, "%v", err)
	case errors.Is(err, clientlimit.ErrOverloaded):
		return apiError(http.StatusServiceUnavailable, api.CodeOverloaded, "%v; nothing was accepted by this call", err)
	}
	return apiError(http.StatusRequestTimeout, api.CodeBadRequest, "the body was not read within %s: %v", bodyTimeout, err)
}

// decode decodes the request body into v. Unknown fields and trailing data are errors.
func decode(r *http.Request, v any) error {
	body, _ := r.Context().Value(bodyKey{}).([]byte)
	if err := unmarshalStrict(body, v); err != nil {
		return apiError(http.StatusBadRequest, api.CodeBadRequest, "the body is not valid: %v", err)
	}
	return nil
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		s.writeError(w, apiError(http.StatusInternalServerError, api.CodeInternal, "the reply cannot be encoded: %v", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(append(data, '\n')); err != nil {
		klog.V(1).InfoS("Reply not sent", "err", err)
	}
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	out := api.ErrorReply{Error: err.Error(), Code: codeOf(err)}
	var stale *config.StaleError
	if errors.As(err, &stale) {
		out.Head, out.Changes = stale.Head, stale.Changes
	}
	s.writeJSON(w, statusOf(err), out)
}
