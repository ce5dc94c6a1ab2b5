package kvstore

import "net/http"

// Paths of the service's calls. Each is a POST with a JSON body: net/http may repeat a GET on its own when a reused
// connection breaks, and each call has to reach the service at most once.
const (
	PathGet       = "/v1/get"
	PathRange     = "/v1/range"
	PathPut       = "/v1/put"
	PathTxn       = "/v1/txn"
	PathDelete    = "/v1/delete"
	PathWatch     = "/v1/watch"
	PathGrant     = "/v1/lease/grant"
	PathKeepAlive = "/v1/lease/keepalive"
	PathRevoke    = "/v1/lease/revoke"
)

// Status codes that carry the errors of a Store.
const (
	StatusNotFound      = http.StatusNotFound
	StatusConflict      = http.StatusConflict
	StatusCompacted     = http.StatusGone
	StatusLeaseNotFound = http.StatusPreconditionFailed
	StatusTooLarge      = http.StatusRequestEntityTooLarge
)

// MaxRequestBytes bounds the body of a request: a value in base64 and the fields around it.
const MaxRequestBytes = MaxValueBytes*4/3 + 64<<10

// MaxWatchWaitMS is the longest wait of one watch that the service grants.
const MaxWatchWaitMS = 60_000

// GetRequest asks for one key. The answer is an Entry.
type GetRequest struct {
	Key string `json:"key"`
}

// RangeRequest asks for the keys under a prefix.
type RangeRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Entries  []Entry  `json:"entries"`
	Revision Revision `json:"revision"`
}

// PutRequest writes one key by compare-and-swap.
type PutRequest struct {
	Key    string   `json:"key"`
	Value  []byte   `json:"value"`
	Expect Revision `json:"expect"`
	Lease  LeaseID  `json:"lease,omitempty"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Revision Revision `json:"revision"`
}

// DeleteRequest removes one key by compare-and-swap. The answer is empty.
type DeleteRequest struct {
	Key    string   `json:"key"`
	Expect Revision `json:"expect"`
}

// WatchRequest asks for changes under a prefix.
type WatchRequest struct {
	Prefix string   `json:"prefix"`
	Since  Revision `json:"since"`
	WaitMS int64    `json:"wait_ms"`
}

// WatchResponse answers a WatchRequest.
type WatchResponse struct {
	Events   []Event  `json:"events"`
	Revision Revision `json:"revision"`
}

// GrantRequest creates a lease.
type GrantRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

// GrantResponse answers a GrantRequest.
type GrantResponse struct {
	Lease LeaseID `json:"lease"`
}

// LeaseRequest renews or revokes a lease. The answer is empty.
type LeaseRequest struct {
	Lease LeaseID `json:"lease"`
}

// EmptyResponse answers calls that return nothing but an error.
type EmptyResponse struct{}

// ErrorResponse explains a status other than 200.
type ErrorResponse struct {
	Reason string `json:"reason"`
	// Current holds the keys of a transaction's conditions after a conflict.
	Current []Entry `json:"current,omitempty"`
}
