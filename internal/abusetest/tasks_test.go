package abusetest

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"masticcart.example/masticcart/platform/standin"
)

// noWorker is a label that no worker has, so that the tasks of a job wait.
const noWorker = "none"

// largestJob returns a job of as many tasks as the format allows, each of which waits. repeat is the number of occurrences,
// all of which are due.
func largestJob(repeat int) string {
	return standin.LabelledJob("10", noWorker, repeat, slices.Repeat([]int{4096}, 64)...)
}

// submitEach submits jobs under ids of their own. An entry may refuse them.
func (h *hosted) submitEach(jobs ...string) {
	h.t.Helper()
	for _, job := range jobs {
		status, body := h.call(http.MethodPost, h.nextID, job)
		h.t.Logf("job %d: status %d %.120s", h.nextID, status, body)
		h.nextID++
	}
}

// restart kills the entry and starts it again, so that it restores all jobs.
func (h *hosted) restart() {
	h.t.Helper()
	h.entry.checkLimits()
	h.entry.kill()
	h.entry = startHostedProcess(h.t, h.settings)
	h.completeOneJob()
	h.entry.checkLimits()
}

// Guards against a leader that holds all tasks of all accepted jobs in memory. Those of one such job take twice the memory
// of the entry.
func TestJobsOfManyTasks(t *testing.T) {
	h := startHosted(t)
	for range 5 {
		h.submitEach(largestJob(0))
		h.completeOneJob()
	}
	h.restart()
}

// Guards against a leader that holds all tasks of many jobs, each of which has as many as one step may have.
func TestManyJobsOfManyTasks(t *testing.T) {
	h := startHosted(t)
	h.submitFrom(200, 20, standin.LabelledJob("10", noWorker, 0, 4096))
	h.completeOneJob()
	h.restart()
}

// Guards against a leader that opens all occurrences of a job that are due. Each has few tasks, all together 1,280,000.
func TestManyDueOccurrences(t *testing.T) {
	h := startHosted(t)
	h.submitEach(standin.LabelledJob("10", noWorker, 10_000, 128))
	h.completeOneJob()
	h.submitEach(largestJob(10_000))
	h.completeOneJob()
	h.restart()
}

// Guards against a leader that holds any number of accepted jobs. While it holds as many as it can, callers may be refused,
// but they are answered.
func TestManySmallJobs(t *testing.T) {
	h := startHosted(t)
	h.submitFrom(60_000, 100, standin.LabelledJob(strings.Repeat("x", 2000), noWorker, 0, 1))
	eventually(t, "a submission is answered", func() bool {
		status, _ := h.call(http.MethodPost, h.nextID, standin.FourTaskJob(10))
		return status == http.StatusOK || status == http.StatusServiceUnavailable
	})
	eventually(t, "the number of pending jobs is answered", func() bool {
		status, _ := h.call(http.MethodGet, 0, "")
		return status == http.StatusOK
	})
	h.entry.checkLimits()
}

// firstCrowdID is the first id of the jobs of a crowd.
const firstCrowdID = 1_000_000

// submitFrom submits the same job under many ids, each once, over persistent connections of a number of clients.
func (h *hosted) submitFrom(jobs, clients int, job string) {
	h.t.Helper()
	var running sync.WaitGroup
	var next, accepted atomic.Int64
	for range clients {
		running.Go(func() {
			c := standin.NewClient(h.front)
			defer c.HTTP.CloseIdleConnections()
			for i := next.Add(1); i <= int64(jobs); i = next.Add(1) {
				if status, _ := c.Call(context.Background(), http.MethodPost, firstCrowdID+int(i), job); status == http.StatusOK {
					accepted.Add(1)
				}
			}
		})
	}
	running.Wait()
	h.t.Logf("%d of %d jobs accepted", accepted.Load(), jobs)
}
