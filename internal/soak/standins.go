package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/wait"
	"masticcart.example/masticcart/platform"
	"masticcart.example/masticcart/platform/standin"
)

const (
	// maxLease is bounds.maxHoldMs of the settings file.
	maxLease = 6 * time.Second
	// heartbeatInterval is the interval of the workers' heartbeats.
	heartbeatInterval = 300 * time.Millisecond
	// workerAccelerators is the number of accelerators per worker.
	workerAccelerators = 4
	// meanTimeToShrink is the mean time until a worker shrinks, meanShrinkTime the mean time until it grows again.
	meanTimeToShrink = 6 * time.Second
	meanShrinkTime   = 8 * time.Second
	// meanChangeInterval is the mean time between two changes of the configuration.
	meanChangeInterval = 1500 * time.Millisecond
	// temporaryKey is an API key that configurations add and remove in turn.
	temporaryKey = "key-of-a-day"
	// meanChangesWithoutKey is the mean number of changes for which temporaryKey is absent. They take longer than a
	// removed key may still be accepted.
	meanChangesWithoutKey = 6
	// changeRetryInterval is the pause after a failed attempt to write a configuration.
	changeRetryInterval = 200 * time.Millisecond

	pathFaults  = "/faults"
	pathCompact = "/compact"
	// Paths of workers.
	pathRefuse = "/refuse"
	pathLeave  = "/leave"
)

// RunWorker runs one worker until ctx ends or a task crashes it, and writes its events to standard output. It occupies
// ballastMB MiB of memory, for runs near the memory limit of the machine.
func RunWorker(ctx context.Context, id, rack, zone, listen, control string, ballastMB int, ignoreCapacity bool) error {
	ballast := make([]byte, ballastMB<<20)
	for at := 0; at < len(ballast); at += os.Getpagesize() {
		ballast[at] = 1 // touch the page, so that it is allocated
	}
	defer runtime.KeepAlive(ballast)
	w := &standin.Worker{ID: id, Service: "s", Rack: rack, Zone: zone, GPUs: workerAccelerators, MaxLease: maxLease,
		IgnoresCapacity: ignoreCapacity, Observer: workerEvents{}, Crash: func(task string) {
			writeEvent(event{Kind: eventTaskCrashed, Task: task})
			os.Exit(1)
		}}
	w.Boot()
	go w.Run(ctx)
	go resizeWorker(ctx, w)
	go w.SendHeartbeats(ctx, control, heartbeatInterval)
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	m := http.NewServeMux()
	m.Handle("/", w.Handler())
	m.HandleFunc("POST "+pathRefuse, func(_ http.ResponseWriter, q *http.Request) { w.Refuse(durationParameter(q)) })
	m.HandleFunc("POST "+pathLeave, func(_ http.ResponseWriter, q *http.Request) {
		w.Leave()
		server.SetKeepAlivesEnabled(false) // as servers do that are about to end
		time.AfterFunc(durationParameter(q), func() {
			w.SendDeregistration(ctx, control)
			os.Exit(0)
		})
	})
	server.Handler = m
	return listenAndServe(ctx, listen, server)
}

// durationParameter returns how long a disturbance that a request asks for lasts.
func durationParameter(q *http.Request) time.Duration {
	ms, err := strconv.Atoi(q.URL.Query().Get("ms"))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// resizeWorker lets a worker shrink and grow until ctx ends.
func resizeWorker(ctx context.Context, w *standin.Worker) {
	for ctx.Err() == nil {
		wait.For(ctx, time.Duration(rand.Float64()*2*float64(meanTimeToShrink)))
		w.Resize(rand.IntN(workerAccelerators))
		wait.For(ctx, time.Duration(rand.Float64()*2*float64(meanShrinkTime)))
		w.Resize(workerAccelerators)
	}
}

// workerEvents writes the events of a worker to standard output.
type workerEvents struct{}

var _ standin.Observer = workerEvents{}

func (workerEvents) LeaseExtended(until time.Time) {
	writeEvent(event{Kind: eventLeaseExtended, Until: until.UnixMicro()})
}
func (workerEvents) CapacityChanged(gpus int) {
	writeEvent(event{Kind: eventCapacityChanged, Accelerators: gpus})
}
func (workerEvents) RunStarted(task string, run int, payload string) {
	writeEvent(event{Kind: eventRunStarted, Task: task, Run: run, Payload: payload})
}
func (workerEvents) RunEnded(number int64, task string, run int, outcome string) {
	writeEvent(event{Kind: eventRunEnded, Number: number, Task: task, Run: run, Outcome: batch.Outcome(outcome)})
}
func (workerEvents) EndsAcknowledged(upTo int64) {
	writeEvent(event{Kind: eventEndsAcknowledged, Number: upTo})
}
func (workerEvents) LeaseExpired() { writeEvent(event{Kind: eventLeaseExpired}) }

// RunStore serves an in-memory store by the platform's protocol until ctx ends. Requests to pathFaults set its faults,
// those to pathCompact compact its history.
func RunStore(ctx context.Context, listen string) error {
	mem := memstore.New(time.Now)
	m := http.NewServeMux()
	m.Handle("/", standin.StoreHandler(mem))
	m.HandleFunc("POST "+pathFaults, func(w http.ResponseWriter, q *http.Request) {
		var f memstore.Faults
		if err := json.NewDecoder(q.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		mem.SetFaults(f)
	})
	m.HandleFunc("POST "+pathCompact, func(http.ResponseWriter, *http.Request) { mem.Compact() })
	return listenAndServe(ctx, listen, &http.Server{Handler: m, ReadHeaderTimeout: time.Minute})
}

// RunOperator writes configurations to the store until ctx ends. The first one contains temporaryKey and the second
// removes it; later ones occasionally add it again for a single change. Each configuration changes a latency target.
func RunOperator(ctx context.Context, store string, seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, 3))
	s := platform.NewStore(store)
	present := false
	for version := int64(1); ctx.Err() == nil; version += 1 + rng.Int64N(3) {
		before := present
		present = version == 1 || !present && rng.IntN(meanChangesWithoutKey) == 0
		if present && !before {
			writeEvent(event{Kind: eventKeyAdded, Key: temporaryKey})
		}
		var keys []string
		if present {
			keys = append(keys, temporaryKey)
		}
		value := []byte(standin.FormatConfiguration(version, 500+rng.IntN(1000), keys...))
		for ctx.Err() == nil { // retried until written; writing the same version again is idempotent
			if _, err := s.Txn(ctx, kvstore.Txn{
				Puts: []kvstore.Write{{Key: platform.KeyConfiguration, Value: value}}}); err == nil {
				break
			}
			wait.For(ctx, changeRetryInterval)
		}
		if before && !present {
			writeEvent(event{Kind: eventKeyRemoved, Key: temporaryKey})
		}
		wait.For(ctx, time.Duration(rng.Float64()*2*float64(meanChangeInterval)))
	}
	return nil
}

// listenAndServe runs an HTTP server until ctx ends, which is not an error.
func listenAndServe(ctx context.Context, address string, server *http.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}
