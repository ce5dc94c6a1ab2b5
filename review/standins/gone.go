//go:build review

package main

import (
	"syscall"
	"time"
)

// spotNotice is how long after its notice a machine is taken away (scale_in, how spot).
const spotNotice = 2 * time.Second

// goneBeforeHandOver takes a machine with an executor away after its notice, and then restarts the entry that leads.
func goneBeforeHandOver(rec *recorder, trouble bool) (bool, error) {
	const job = "9f0e7a21d94b36f8"
	f, err := newFleet(rec, 3, 3, retraceNeed)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	if err := f.submit(job, 1, 10_000); err != nil {
		return false, err
	}
	runs, err := f.awaitRuns(job, 1, 5*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		agent, leader := f.agentOf(runs[0].executor), f.leader()
		for i, e := range f.executors {
			if e.life() == runs[0].executor {
				e.drain()
				time.Sleep(spotNotice)
				e.end()
				rec.logf("the machine of %s is taken away", agent.node)
				agent.hold(true)
				agent.signal(syscall.SIGKILL)
				f.executors = append(f.executors[:i:i], f.executors[i+1:]...)
				break
			}
		}
		time.Sleep(1500 * time.Millisecond)
		leader.signal(syscall.SIGTERM)
	}
	rec.logf("end of the traffic")
	broken := f.standsStill(job, 1)
	f.call("GET", job, "")
	return broken, nil
}
