package scheduler

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/relay"
)

// endProgress holds the numbers of the last ended runs of an incarnation that are applied and that are recorded.
type endProgress struct{ applied, recorded int64 }

// applyRetainedEnds applies ended runs that incarnations of a worker have listed before their end, and that the agent
// retains until they are acknowledged. It comes before anything by which these runs could be taken as lost.
func (c *Core) applyRetainedEnds(w *worker, r Report, wall time.Time) {
	retained := map[batch.Incarnation]*endProgress{}
	for _, e := range r.RetainedEnds {
		klog.V(1).InfoS("Agent has retained ended runs", "node", w.node, "worker", e.Incarnation, "ended", len(e.Ended))
		if w.info != nil && e.Incarnation == w.info.Incarnation {
			w.lastEnd = c.applyEnds(w, e.Incarnation, e.Ended, w.lastEnd, r.ReceivedAt, wall)
			continue
		}
		p := w.earlierEnds[e.Incarnation]
		if p == nil {
			p = &endProgress{}
		}
		p.applied = c.applyEnds(w, e.Incarnation, e.Ended, p.applied, r.ReceivedAt, wall)
		retained[e.Incarnation] = p
	}
	w.earlierEnds = retained
}

// appendUnrecordedEnds appends the ends that have been applied and are not recorded yet.
func (w *worker) appendUnrecordedEnds(acks []endAck) []endAck {
	if w.lastEnd > w.recordedEnd {
		acks = append(acks, endAck{w.node, w.incarnation(), w.lastEnd})
	}
	for i, p := range w.earlierEnds {
		if p.applied > p.recorded {
			acks = append(acks, endAck{w.node, i, p.applied})
		}
	}
	return acks
}

// noteRecordedEnds notes that the ends of an incarnation are recorded.
func (w *worker) noteRecordedEnds(ack endAck) {
	if ack.incarnation == w.incarnation() {
		w.recordedEnd = max(w.recordedEnd, ack.end)
	}
	if p := w.earlierEnds[ack.incarnation]; p != nil {
		p.recorded = max(p.recorded, ack.end)
	}
}

// EarlierAcks returns the acknowledgements for the agent of a node that concern earlier incarnations of its worker.
func (c *Core) EarlierAcks(node string) []relay.EndAck {
	w := c.workers[node]
	if w == nil {
		return nil
	}
	var acks []relay.EndAck
	for i, p := range w.earlierEnds {
		if p.recorded > 0 {
			acks = append(acks, relay.EndAck{Incarnation: i, Through: p.recorded})
		}
	}
	slices.SortFunc(acks, func(a, b relay.EndAck) int {
		return cmp.Or(cmp.Compare(a.Incarnation.ID, b.Incarnation.ID), cmp.Compare(a.Incarnation.StartedMS, b.Incarnation.StartedMS))
	})
	return acks
}
