package hosted

import (
	"encoding/json"
	"reflect"
	"testing"

	"masticcart.example/masticcart/internal/scheduler"
)

// Guards against entries of two releases that cannot decode each other's numbers of pending jobs while they are restarted
// one after the other.
func TestPendingIsCompatibleWithTheReleaseBefore(t *testing.T) {
	load := scheduler.Load{Pending: map[string]int{"q": 3},
		Waits: map[string]scheduler.QueueWait{"q": {WaitMS: 1500, DurationRatio: 0.5}}}
	var old pendingRequest
	if err := json.Unmarshal([]byte("{}"), &old); err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(old.responseOf(load))
	if err != nil || string(data) != `{"q":3}` {
		t.Errorf("response to the release before: %s, %v", data, err)
	}
	if data, err = json.Marshal(pendingRequest{Load: true}.responseOf(load)); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]scheduler.Load{
		string(data):     load,
		`{"pending":{}}`: {Pending: map[string]int{}},
		`{}`:             {Pending: map[string]int{}},
		`{"q":3,"r":0}`:  {Pending: map[string]int{"q": 3, "r": 0}},
		`{"pending":2}`:  {Pending: map[string]int{"pending": 2}}, // a queue of the release before
	} {
		var r pendingResponse
		if err := json.Unmarshal([]byte(text), &r); err != nil || !reflect.DeepEqual(r.Load, want) {
			t.Errorf("%s: %+v, %v; want %+v", text, r.Load, err, want)
		}
	}
}
