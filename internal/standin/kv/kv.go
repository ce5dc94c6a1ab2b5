// Package kv is a stand-in for the platform's key-value service: an HTTP server over an in-memory store, with faults
// that can be switched on and off while it runs. It is used by tests and the demo only.
package kv

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"

	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/standin/process"
)

// maxMilliseconds bounds durations in requests, so that they fit into a time.Duration.
const maxMilliseconds = int64(366 * 24 * time.Hour / time.Millisecond)

// errBadRequest is returned for requests that cannot be decoded or have values out of range.
var errBadRequest = merry.Sentinel("kv: malformed request", merry.WithHTTPCode(http.StatusBadRequest))

// Server is the http.Handler of the key-value service.
type Server struct {
	store  *memstore.Store
	router *mux.Router
}

// New returns a server that stores its data in store.
func New(store *memstore.Store) *Server {
	s := &Server{store: store, router: mux.NewRouter()}
	handle(s, kvstore.PathGet, func(ctx context.Context, r kvstore.GetRequest) (kvstore.Entry, error) {
		return store.Get(ctx, r.Key)
	})
	handle(s, kvstore.PathRange, s.rangeKeys)
	handle(s, kvstore.PathWatch, s.watch)
	handleWrite(s, kvstore.PathPut, s.put)
	handleWrite(s, kvstore.PathTxn, s.txn)
	handleWrite(s, kvstore.PathDelete, s.delete)
	handleWrite(s, kvstore.PathGrant, s.grant)
	handleWrite(s, kvstore.PathKeepAlive, func(ctx context.Context, r kvstore.LeaseRequest) (emptyResponse, error) {
		return emptyResponse{}, store.KeepAlive(ctx, r.Lease)
	})
	handleWrite(s, kvstore.PathRevoke, func(ctx context.Context, r kvstore.LeaseRequest) (emptyResponse, error) {
		return emptyResponse{}, store.Revoke(ctx, r.Lease)
	})
	s.router.HandleFunc("/admin/faults", s.handleFaults).Methods(http.MethodPost)
	s.router.HandleFunc("/admin/stats", s.handleStats).Methods(http.MethodGet)
	return s
}

type emptyResponse = kvstore.EmptyResponse

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) rangeKeys(ctx context.Context, r kvstore.RangeRequest) (kvstore.RangeResponse, error) {
	entries, revision, err := s.store.Range(ctx, r.Prefix, r.After, r.Limit)
	return kvstore.RangeResponse{Entries: entries, Revision: revision}, err
}

func (s *Server) watch(ctx context.Context, r kvstore.WatchRequest) (kvstore.WatchResponse, error) {
	wait := time.Duration(min(max(r.WaitMS, 0), kvstore.MaxWatchWaitMS)) * time.Millisecond
	events, revision, err := s.store.Watch(ctx, r.Prefix, r.Since, wait)
	return kvstore.WatchResponse{Events: events, Revision: revision}, err
}

func (s *Server) put(ctx context.Context, r kvstore.PutRequest) (kvstore.PutResponse, error) {
	revision, err := s.store.Put(ctx, r.Key, r.Value, r.Expect, r.Lease)
	return kvstore.PutResponse{Revision: revision}, err
}

func (s *Server) txn(ctx context.Context, t kvstore.Txn) (kvstore.PutResponse, error) {
	revision, err := s.store.Txn(ctx, t)
	return kvstore.PutResponse{Revision: revision}, err
}

func (s *Server) delete(ctx context.Context, r kvstore.DeleteRequest) (emptyResponse, error) {
	return emptyResponse{}, s.store.Delete(ctx, r.Key, r.Expect)
}

func (s *Server) grant(ctx context.Context, r kvstore.GrantRequest) (kvstore.GrantResponse, error) {
	if r.TTLMS < 0 || r.TTLMS > maxMilliseconds {
		return kvstore.GrantResponse{}, merry.Wrap(errBadRequest, merry.AppendMessagef("ttl_ms %d", r.TTLMS))
	}
	id, err := s.store.Grant(ctx, time.Duration(r.TTLMS)*time.Millisecond)
	return kvstore.GrantResponse{Lease: id}, err
}

// handleWrite registers a call that changes the store. The call ignores cancellation, so that a slow write takes effect
// even if its client has disconnected, as it can in a real service.
func handleWrite[Q, A any](s *Server, path string, call func(context.Context, Q) (A, error)) {
	handle(s, path, func(ctx context.Context, request Q) (A, error) {
		return call(context.WithoutCancel(ctx), request)
	})
}

// handle registers a call at a path. It decodes the request and encodes the response or the error as JSON.
func handle[Q, A any](s *Server, path string, call func(context.Context, Q) (A, error)) {
	s.router.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if err := decode(w, r, &request); err != nil {
			writeError(w, err)
			return
		}
		response, err := call(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		process.WriteJSON(w, http.StatusOK, response)
	}).Methods(http.MethodPost)
}

// decode decodes the JSON body of a request. It reads the body to its end, since net/http detects a disconnected client
// only after that.
func decode(w http.ResponseWriter, r *http.Request, request any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, kvstore.MaxRequestBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return kvstore.ErrTooLarge
	}
	if err == nil {
		err = json.Unmarshal(body, request)
	}
	if err != nil {
		return merry.Wrap(errBadRequest, merry.WithCause(err))
	}
	return nil
}

// writeError sends the HTTP status and the message of an error. For an outage or a lost answer it closes the connection
// without a response.
func writeError(w http.ResponseWriter, err error) {
	status := merry.HTTPCode(err)
	switch {
	case errors.Is(err, kvstore.ErrUnavailable), errors.Is(err, kvstore.ErrUnknownOutcome):
		panic(http.ErrAbortHandler) // net/http closes the connection and logs nothing
	case errors.Is(err, kvstore.ErrNotFound):
		status = kvstore.StatusNotFound
	case errors.Is(err, kvstore.ErrConflict):
		status = kvstore.StatusConflict
	case errors.Is(err, kvstore.ErrCompacted):
		status = kvstore.StatusCompacted
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		status = kvstore.StatusLeaseNotFound
	case errors.Is(err, kvstore.ErrTooLarge):
		status = kvstore.StatusTooLarge
	}
	response := kvstore.ErrorResponse{Reason: err.Error()}
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		response.Current = conflict.Current
	}
	process.WriteJSON(w, status, response)
}
