package kv

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/standin/process"
)

// FaultsRequest is the body of POST /admin/faults. Absent fields leave the fault unchanged; Reset first clears all
// faults.
type FaultsRequest struct {
	Down        *bool    `json:"down,omitempty"`
	SlowMS      *int64   `json:"slow_ms,omitempty"`
	LoseAnswers *float64 `json:"lose_answers,omitempty"` // probability
	Reset       bool     `json:"reset,omitempty"`
}

// FaultsResponse lists the faults that are active after the request.
type FaultsResponse struct {
	Down        bool    `json:"down"`
	SlowMS      int64   `json:"slow_ms"`
	LoseAnswers float64 `json:"lose_answers"`
}

// applyTo returns the given faults with the changes of the request, or errBadRequest if a value is out of range.
func (q FaultsRequest) applyTo(f memstore.Faults) (memstore.Faults, error) {
	if q.Reset {
		f = memstore.Faults{}
	}
	if q.Down != nil {
		f.Down = *q.Down
	}
	if q.SlowMS != nil {
		if *q.SlowMS < 0 || *q.SlowMS > maxMilliseconds {
			return f, merry.Wrap(errBadRequest, merry.AppendMessagef("slow_ms %d", *q.SlowMS))
		}
		f.Slow = time.Duration(*q.SlowMS) * time.Millisecond
	}
	if q.LoseAnswers != nil {
		if *q.LoseAnswers < 0 || *q.LoseAnswers > 1 {
			return f, merry.Wrap(errBadRequest, merry.AppendMessagef("lose_answers %g", *q.LoseAnswers))
		}
		f.LoseAnswers = *q.LoseAnswers
	}
	return f, nil
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var request FaultsRequest
	if err := decode(w, r, &request); err != nil {
		writeError(w, err)
		return
	}
	f, err := request.applyTo(s.store.Faults())
	if err != nil {
		writeError(w, err)
		return
	}
	s.store.SetFaults(f)
	klog.InfoS("Set faults", "down", f.Down, "slow", f.Slow, "loseAnswers", f.LoseAnswers)
	process.WriteJSON(w, http.StatusOK, FaultsResponse{Down: f.Down, SlowMS: f.Slow.Milliseconds(), LoseAnswers: f.LoseAnswers})
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, s.store.Stats())
}
