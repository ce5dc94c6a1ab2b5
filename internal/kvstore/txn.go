package kvstore

import "fmt"

// MaxTxnOps is the largest total of conditions, writes and deletes in one transaction.
const MaxTxnOps = 32

// Condition requires a key to have the given revision. Revision zero requires that the key does not exist.
type Condition struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
}

// Write sets the value of a key and attaches it to a lease if one is given.
type Write struct {
	Key   string  `json:"key"`
	Value []byte  `json:"value"`
	Lease LeaseID `json:"lease,omitempty"`
}

// Txn is a transaction: all its writes and deletes are executed if all its conditions hold, and none otherwise.
type Txn struct {
	Expect  []Condition `json:"expect,omitempty"`
	Puts    []Write     `json:"puts,omitempty"`
	Deletes []string    `json:"deletes,omitempty"`
}

// Size returns the number of operations that count towards MaxTxnOps.
func (t *Txn) Size() int { return len(t.Expect) + len(t.Puts) + len(t.Deletes) }

// ConflictError is returned for a transaction whose conditions do not hold. It matches ErrConflict.
type ConflictError struct {
	// Current has the current entries of those keys of the conditions that exist.
	Current []Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: conditions of a transaction (%d of the keys exist)", ErrConflict, len(e.Current))
}

// Is matches ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Find returns the current entry of a key of the conditions. The entry of a key that does not exist has revision zero.
func (e *ConflictError) Find(key string) Entry {
	for _, entry := range e.Current {
		if entry.Key == key {
			return entry
		}
	}
	return Entry{Key: key}
}
