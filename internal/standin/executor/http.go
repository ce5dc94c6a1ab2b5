package executor

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/standin/process"
)

// faultsRequest is the body of POST /admin/faults. Absent fields leave the fault unchanged.
type faultsRequest struct {
	FailAll    *bool    `json:"fail_all"`
	SlowFactor *float64 `json:"slow_factor"`
}

func (s *Server) handleRun(w http.ResponseWriter, r *http.Request) {
	var request RunRequest
	if err := decode(w, r, &request); err != nil {
		writeError(w, "", err)
		return
	}
	if request.ID == "" {
		writeError(w, "", merry.Wrap(errBadRequest, merry.AppendMessage("id is required")))
		return
	}
	response, err := s.run(r.Context(), request)
	if err != nil {
		writeError(w, request.ID, err)
		return
	}
	process.WriteJSON(w, http.StatusOK, response)
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, s.Status())
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var request faultsRequest
	if err := decode(w, r, &request); err != nil {
		writeError(w, "", err)
		return
	}
	if f := request.SlowFactor; f != nil && *f <= 0 {
		writeError(w, "", merry.Wrap(errBadRequest, merry.AppendMessagef("slow_factor %g is not positive", *f)))
		return
	}
	faults := s.changeFaults(request)
	klog.InfoS("Set faults", "failAll", faults.FailAll, "slowFactor", faults.SlowFactor)
	process.WriteJSON(w, http.StatusOK, faults)
}

func (s *Server) changeFaults(request faultsRequest) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.FailAll != nil {
		s.faults.FailAll = *request.FailAll
	}
	if request.SlowFactor != nil {
		s.faults.SlowFactor = *request.SlowFactor
	}
	return s.faults
}

// decode decodes the JSON body of a request. It reads the body to its end, since net/http detects a disconnected client
// only after that.
func decode(w http.ResponseWriter, r *http.Request, request any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, request)
	}
	if err != nil {
		return merry.Wrap(errBadRequest, merry.WithCause(err))
	}
	return nil
}

// writeError sends the HTTP status and the message of an error.
func writeError(w http.ResponseWriter, id string, err error) {
	process.WriteJSON(w, merry.HTTPCode(err), RunResponse{ID: id, Reason: err.Error()})
}
