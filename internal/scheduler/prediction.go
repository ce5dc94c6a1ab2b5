package scheduler

import (
	"math"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// prediction compares two predictions of the durations of a queue's tasks: the estimate of the job, scaled as the other
// estimates of the queue, and the typical duration of the queue's tasks.
type prediction struct {
	typicalLog                  float64 // mean of the logarithms of the durations in seconds
	estimateError, typicalError float64 // moving averages of the squared differences of the logarithms
	count                       int
}

const (
	// predictionWeight is the least weight of one observation in the moving averages; about the last twenty count.
	predictionWeight = 0.05
	// minPredictions is the number of observations from which on the typical duration is used.
	minPredictions = 5
	// minPredictionError keeps the weight of a prediction finite. Tasks of a step differ by some percent.
	minPredictionError = 0.003
)

// recordPrediction compares the predictions with the duration of a successful run, see recordDuration.
func (c *Core) recordPrediction(t *task) {
	if t.runTime <= 0 || t.remote || t.step.spec.Estimate <= 0 {
		return
	}
	j := t.step.job()
	p := c.predictions[j.Queue.Name]
	if p == nil {
		p = &prediction{}
		c.predictions[j.Queue.Name] = p
	}
	p.count++
	weight := max(predictionWeight, 1/float64(p.count))
	actual := math.Log(t.runTime.Seconds())
	squared := func(predicted float64) float64 { return (actual - predicted) * (actual - predicted) }
	p.estimateError += weight * (squared(math.Log(c.scaledEstimate(j, t.step.spec).Seconds())) - p.estimateError)
	if p.count > 1 {
		p.typicalError += weight * (squared(p.typicalLog) - p.typicalError)
	}
	p.typicalLog += weight * (actual - p.typicalLog)
}

// likelyDuration returns the duration of a task that both predictions together make likely, each weighted by its
// precision. Estimates are off by up to a factor of 2, for all tasks of a job alike: by the estimate alone, a job whose
// estimate is too low counts as late long before it is.
func (c *Core) likelyDuration(j *job, s *batch.Step) time.Duration {
	estimate := c.scaledEstimate(j, s)
	p := c.predictions[j.Queue.Name]
	if p == nil || p.count < minPredictions || estimate <= 0 {
		return estimate
	}
	byEstimate, byTypical := 1/(p.estimateError+minPredictionError), 1/(p.typicalError+minPredictionError)
	log := (math.Log(estimate.Seconds())*byEstimate + p.typicalLog*byTypical) / (byEstimate + byTypical)
	return time.Duration(math.Exp(log) * float64(time.Second))
}
