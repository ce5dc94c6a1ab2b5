package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/wait"
	"masticcart.example/masticcart/platform"
	"masticcart.example/masticcart/platform/standin"
)

const (
	// maxHold is the bound of the settings file.
	maxHold = 6 * time.Second
	// announceEvery is the pace of the workers' announcements.
	announceEvery = 300 * time.Millisecond
	// workerAccelerators is what a worker has.
	workerAccelerators = 4
	// changePause is the mean time between two changes of the configuration.
	changePause = 1500 * time.Millisecond
	// operatorKey comes and goes with the changes.
	operatorKey = "key-of-a-day"
	// keyReturns is the mean number of changes for which the key is gone: longer than a removed key may be honoured.
	keyReturns = 6
	// operatorRetry is the pause between two tries of a change.
	operatorRetry = 200 * time.Millisecond

	pathFaults  = "/faults"
	pathCompact = "/compact"
)

// RunWorker runs one worker until ctx ends and writes what happens on it to standard output. It occupies ballastMB of memory,
// for runs near the limits of the machine.
func RunWorker(ctx context.Context, id, rack, listen, control string, ballastMB int) error {
	ballast := make([]byte, ballastMB<<20)
	for at := 0; at < len(ballast); at += os.Getpagesize() {
		ballast[at] = 1 // so that the page is there
	}
	defer runtime.KeepAlive(ballast)
	w := &standin.Worker{ID: id, Service: "s", Rack: rack, GPUs: workerAccelerators, MaxLease: maxHold, Observer: workerEvents{}}
	w.Boot()
	go w.Run(ctx)
	go w.SendHeartbeats(ctx, control, announceEvery)
	return listenAndServe(ctx, listen, w.Handler())
}

// workerEvents writes what happens on a worker.
type workerEvents struct{}

var _ standin.Observer = workerEvents{}

func (workerEvents) LeaseExtended(until time.Time) {
	emit(event{Kind: eventExtended, Until: until.UnixMicro()})
}
func (workerEvents) RunStarted(task string, run int, payload string) {
	emit(event{Kind: eventStarted, Task: task, Run: run, Payload: payload})
}
func (workerEvents) RunEnded(number int64, task string, run int, how string) {
	emit(event{Kind: eventEnded, Number: number, Task: task, Run: run, How: batch.Outcome(how)})
}
func (workerEvents) EndsAcknowledged(upTo int64) { emit(event{Kind: eventNoted, Number: upTo}) }
func (workerEvents) LeaseExpired()               { emit(event{Kind: eventLapsed}) }

// RunStore serves the platform's store until ctx ends. Its faults are set by requests.
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
	return listenAndServe(ctx, listen, m)
}

// RunOperator writes configurations to the store until ctx ends. The first has a key that the
// second removes, and that comes back for one change now and then; each changes a latency target.
func RunOperator(ctx context.Context, store string, seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, 3))
	s := platform.NewStore(store)
	present := false
	for version := int64(1); ctx.Err() == nil; version += 1 + rng.Int64N(3) {
		before := present
		present = version == 1 || !present && rng.IntN(keyReturns) == 0
		if present && !before {
			emit(event{Kind: eventKeyAdded, Key: operatorKey})
		}
		var keys []string
		if present {
			keys = append(keys, operatorKey)
		}
		value := []byte(standin.FormatConfiguration(version, 500+rng.IntN(1000), keys...))
		for ctx.Err() == nil { // writing the same version again does no harm
			if _, err := s.Txn(ctx, kvstore.Txn{Puts: []kvstore.Write{{Key: platform.KeyConfiguration, Value: value}}}); err == nil {
				break
			}
			wait.For(ctx, operatorRetry)
		}
		if before && !present {
			emit(event{Kind: eventKeyRemoved, Key: operatorKey})
		}
		wait.For(ctx, time.Duration(rng.Float64()*2*float64(changePause)))
	}
	return nil
}

// listenAndServe serves until ctx ends.
func listenAndServe(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}
