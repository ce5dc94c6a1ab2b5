package kvstore

import "net/http"

// Paths of the service's calls. All of them are POST requests with a JSON body: net/http may resend a GET on its own
// when a reused connection breaks, and each call has to reach the service at most once.
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

// HTTP status codes that stand for the errors of a Store.
const (
	StatusNotFound      = http.StatusNotFound
	StatusConflict      = http.StatusConflict
	StatusCompacted     = http.StatusGone
	StatusLeaseNotFound = http.StatusPreconditionFailed
	StatusTooLarge      = http.StatusRequestEntityTooLarge
)

// MaxRequestBytes bounds the body of a request: a value in base64 and 64 KiB for the fields around it.
const MaxRequestBytes = MaxValueBytes*4/3 + 64<<10

// MaxWatchWaitMS is the longest wait of one watch that the service accepts, in milliseconds.
const MaxWatchWaitMS = 60_000

// GetRequest reads one key. The response is an Entry.
type GetRequest struct {
	Key string `json:"key"`
}

// RangeRequest reads the entries under a prefix.
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

// DeleteRequest deletes one key by compare-and-swap. The response is an EmptyResponse.
type DeleteRequest struct {
	Key    string   `json:"key"`
	Expect Revision `json:"expect"`
}

// WatchRequest waits for changes under a prefix.
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

// LeaseRequest renews or revokes a lease. The response is an EmptyResponse.
type LeaseRequest struct {
	Lease LeaseID `json:"lease"`
}

// EmptyResponse answers the calls that return no data.
type EmptyResponse struct{}

// ErrorResponse is the body of a response with a status other than 200.
type ErrorResponse struct {
	Reason string `json:"reason"`
	// Current has the current entries of the keys in a transaction's conditions after a conflict.
	Current []Entry `json:"current,omitempty"`
}
