package capacity

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// stabilizationDelay is the time between a change of the load and the window that measures it.
	stabilizationDelay = 3 * time.Second
	// windowLength is the length of a window, except where resyncInterval or eventWindow applies.
	windowLength = 8 * time.Second
	// resyncInterval is the time between two listings of the open jobs by an owner: three watches of 10 s and a pause
	// of 1 s. Windows with open jobs have this length, so that each covers one listing.
	resyncInterval = 31 * time.Second
)

// target is a measured process and the role under which its points are recorded.
type target struct {
	role           string
	pid            int
	metricsAddress string         // if empty, no counters are scraped
	proxy          *countingProxy // if nil, no platform traffic is counted
}

func entryTarget(role string, e *entryProcess) target {
	return target{role: role, pid: e.pid, metricsAddress: e.metricsAddress, proxy: e.platformProxy}
}

// usage is the resource usage of a process in a window.
type usage struct {
	cpuPercent, rssMB                       float64
	receiveRate, sendRate, commandRate      float64 // bytes, and commands to agents, per second
	platformReceiveRate, platformSendRate   float64 // bytes per second
	cpuTime                                 time.Duration
	receivedBytes, sentBytes, sampleSeconds float64 // between the counter samples that bound the window
}

// windowResult is the result of one window. Its usages are in the order of the targets.
type windowResult struct {
	usages []usage
	// callRate is the sum of the other three: calls to the platform per second.
	callRate, readRate, writeRate, watchRate     float64
	fleetReceiveRate, fleetSendRate, messageRate float64 // bytes and messages per second, of all agents together
}

const (
	// maxStallShare is the share of a window from which on a memory stall of the machine invalidates it. The kernel
	// charges page reclaim to whichever process is running, which made idle processes appear to use more than a core.
	maxStallShare     = 0.01
	maxWindowAttempts = 3
)

// measureSteadyWindow measures a window without an event. It repeats a window in which the machine was stalled on
// memory for too long, up to maxWindowAttempts in all.
func (r *runner) measureSteadyWindow(ctx context.Context, targets []target,
	length time.Duration) (windowResult, error) {
	for attempt := 1; ; attempt++ {
		stallBefore := memoryStall()
		m, err := r.measureWindow(ctx, targets, length, nil)
		stall := memoryStall() - stallBefore
		if err != nil || attempt == maxWindowAttempts || stall < time.Duration(maxStallShare*float64(length)) {
			return m, err
		}
		fmt.Fprintf(r.log, "repeating the window: the machine was stalled on memory for %s\n", stall)
	}
}

// measureWindow measures the targets for the given time. It calls during, if not nil, at the start of that time. CPU
// time and memory are read around a period without scrapes, since a scrape costs the process CPU time; bytes and
// commands are counted between two publications of the counters.
func (r *runner) measureWindow(ctx context.Context, targets []target, length time.Duration,
	during func() error) (windowResult, error) {
	m := windowResult{usages: make([]usage, len(targets))}
	samplesBefore, err := samplesAtPublication(ctx, targets)
	if err != nil {
		return m, err
	}
	cpuBefore, proxyBefore := make([]time.Duration, len(targets)), make([][2]int64, len(targets))
	for i, t := range targets {
		if cpuBefore[i], err = processCPUTime(t.pid); err != nil {
			return m, err
		}
		if t.proxy != nil {
			proxyBefore[i] = [2]int64{t.proxy.bytesToEntry.Load(), t.proxy.bytesToPlatform.Load()}
		}
	}
	statsBefore, err := platformStats(ctx, r.processes.platformAddress)
	if err != nil {
		return m, err
	}
	fleetBefore := r.fleetSample()
	started := time.Now()
	if during != nil {
		if err := during(); err != nil {
			return m, err
		}
	}
	time.Sleep(length - time.Since(started))
	seconds := time.Since(started).Seconds()
	for i, t := range targets {
		cpuNow, err := processCPUTime(t.pid)
		if err != nil {
			return m, err
		}
		rss, err := residentBytes(t.pid)
		if err != nil {
			return m, err
		}
		u := &m.usages[i]
		u.cpuTime = cpuNow - cpuBefore[i]
		u.cpuPercent, u.rssMB = 100*u.cpuTime.Seconds()/seconds, float64(rss)/1e6
		if t.proxy != nil {
			u.platformReceiveRate = float64(t.proxy.bytesToEntry.Load()-proxyBefore[i][0]) / seconds
			u.platformSendRate = float64(t.proxy.bytesToPlatform.Load()-proxyBefore[i][1]) / seconds
		}
	}
	statsAfter, err := platformStats(ctx, r.processes.platformAddress)
	if err != nil {
		return m, err
	}
	m.readRate, m.writeRate, m.watchRate = float64(statsAfter.Reads-statsBefore.Reads)/seconds,
		float64(statsAfter.Writes-statsBefore.Writes)/seconds, float64(statsAfter.Watches-statsBefore.Watches)/seconds
	m.callRate = m.readRate + m.writeRate + m.watchRate
	fleetAfter := r.fleetSample()
	m.fleetReceiveRate, m.fleetSendRate, m.messageRate = (fleetAfter.receivedBytes-fleetBefore.receivedBytes)/seconds,
		(fleetAfter.sentBytes-fleetBefore.sentBytes)/seconds, (fleetAfter.messages-fleetBefore.messages)/seconds
	samplesAfter, err := samplesEvenSecondsLater(ctx, targets, samplesBefore)
	if err != nil {
		return m, err
	}
	for i := range targets {
		if targets[i].metricsAddress == "" {
			continue
		}
		u := &m.usages[i]
		u.sampleSeconds = samplesAfter[i].at.Sub(samplesBefore[i].at).Seconds()
		u.receivedBytes, u.sentBytes = samplesAfter[i].receivedBytes-samplesBefore[i].receivedBytes,
			samplesAfter[i].sentBytes-samplesBefore[i].sentBytes
		u.receiveRate, u.sendRate, u.commandRate = u.receivedBytes/u.sampleSeconds, u.sentBytes/u.sampleSeconds,
			(samplesAfter[i].commands-samplesBefore[i].commands)/u.sampleSeconds
	}
	return m, nil
}

// fleetSample returns a reading of the fleet's counters, zero in parts without a fleet.
func (r *runner) fleetSample() fleetSample {
	if r.fleet == nil {
		return fleetSample{at: time.Now()}
	}
	return r.fleet.sample()
}

// samplesEvenSecondsLater samples the counters at a publication that is an even number of seconds after the earlier
// samples. Each agent sends a heartbeat every other second, so that such a window covers whole heartbeat intervals.
func samplesEvenSecondsLater(ctx context.Context, targets []target, before []counterSample) ([]counterSample, error) {
	samples, err := samplesAtPublication(ctx, targets)
	if err != nil {
		return nil, err
	}
	pending := slices.Clone(targets)
	for i := range pending {
		if int(math.Round(samples[i].at.Sub(before[i].at).Seconds()))%2 == 0 {
			pending[i].metricsAddress = ""
		}
	}
	later, err := samplesAtPublication(ctx, pending)
	for i, t := range pending {
		if t.metricsAddress != "" && err == nil {
			samples[i] = later[i]
		}
	}
	return samples, err
}

// samplesAtPublication calls sampleAtPublication concurrently for all targets that serve metrics.
func samplesAtPublication(ctx context.Context, targets []target) ([]counterSample, error) {
	samples, errs := make([]counterSample, len(targets)), make([]error, len(targets))
	var calls sync.WaitGroup
	for i, t := range targets {
		if t.metricsAddress != "" {
			calls.Go(func() { samples[i], errs[i] = sampleAtPublication(ctx, t.metricsAddress) })
		}
	}
	calls.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return samples, nil
}
