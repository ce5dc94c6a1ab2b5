package policy

import (
	"math"
	"time"
)

// Acceptable losses by preemption as multiples of the work of the demand.
const (
	// inTimeLossRatio applies if the demand meets its aim by the preemption and has all of its slack. It rises to
	// lastChanceLossRatio as the slack is used up: running work may end meanwhile, and an urgent job that is late loses
	// most of its value.
	inTimeLossRatio = 1.25
	// lastChanceLossRatio applies if the demand meets its aim only by a preemption now.
	lastChanceLossRatio = 2.0
	// lateLossRatio applies if the demand meets only its late limit, where its result is of some use.
	lateLossRatio = 0.5
	// waitLossRatio applies if running work is expected to release the capacity in time.
	waitLossRatio = 0.25
	// restoreLossRatio applies to demands that are not of priority 0. The caller restricts their victims to work that
	// loses no more than its restore time.
	restoreLossRatio = 0.25
	// safeSlackShare is the share of its slack that a demand may wait for a release. Estimates are off by up to a
	// factor of 2, and other urgent work may take the capacity first.
	safeSlackShare = 0.25
)

// MayPreempt reports whether stopping work with the given loss, in core-seconds, for a demand is worthwhile. freeAt is
// when the capacity will be free.
func MayPreempt(d *Demand, loss float64, freeAt, now time.Duration) bool {
	return loss <= AcceptableLoss(d, freeAt, now)
}

// AcceptableLoss returns the work, in core-seconds, that may be lost to start a demand at freeAt. It is infinite for
// guaranteed demands, and negative if the start would be too late to be worth a stop.
func AcceptableLoss(d *Demand, freeAt, now time.Duration) float64 {
	inTime := freeAt+d.Remaining <= d.Aim
	switch {
	case d.Guaranteed:
		return math.Inf(1)
	case inTime && CanWait(d, now):
		if d.Priority > 0 {
			return -1
		}
		return waitLossRatio * d.Work
	case inTime && d.Priority > 0:
		return restoreLossRatio * d.Work
	case inTime:
		total, left := d.Aim-d.Remaining-d.AcceptedAt, d.Aim-d.Remaining-freeAt
		used := 1 - min(1, float64(left)/float64(max(total, 1)))
		return (inTimeLossRatio + (lastChanceLossRatio-inTimeLossRatio)*used) * d.Work
	case d.Priority == 0 && freeAt+d.Remaining <= d.LateLimit:
		return lateLossRatio * d.Work
	}
	return -1
}

// CanWait reports whether running work is expected to release capacity for the demand well before its latest start.
func CanWait(d *Demand, now time.Duration) bool {
	slack := d.Aim - d.Remaining - now
	return d.ReleaseAt > 0 && slack > 0 && d.ReleaseAt <= now+time.Duration(float64(slack)*safeSlackShare)
}

const (
	// repeatLossFactor increases the loss by this share for each earlier preemption of the victim, so that each of them
	// completes.
	repeatLossFactor = 1.0
	// almostDoneFactor is the factor on the loss of a victim whose capacity will be free soon without a stop.
	almostDoneFactor = 3.0
	// almostDoneTime is the expected remaining time of such a victim: twice what a stop takes.
	almostDoneTime = 500 * time.Millisecond
	// gangFactor is the factor on the loss of a gang, all of whose members have to find room at the same time again.
	gangFactor = 2.0
	// overShareFactor is the factor on the loss of a victim whose team uses more than its share.
	overShareFactor = 0.75
)

// Victim is what the policy knows of running work that may be stopped: a task, or all members of a gang.
type Victim struct {
	Lost        float64       // work that a stop loses, in core-seconds
	Remaining   time.Duration // expected time until it ends by itself
	Gang        bool
	Preemptions int     // earlier stops in favour of other work
	TeamShare   float64 // accelerators in use by its team relative to the fair share
}

// Loss returns the loss, in core-seconds, at which a victim is valued: those almost done, those stopped before and
// gangs are spared, and those of teams above their share come first.
func Loss(v *Victim) float64 {
	loss := v.Lost * (1 + repeatLossFactor*float64(v.Preemptions))
	if v.Remaining < almostDoneTime {
		loss *= almostDoneFactor
	}
	if v.Gang {
		loss *= gangFactor
	}
	if v.TeamShare > 1 {
		loss *= overShareFactor
	}
	return loss
}
