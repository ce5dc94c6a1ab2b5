package batch

import (
	"strings"
	"testing"
)

// Guards against a job whose labels are too large for the store once they are encoded.
func TestLongLabelsAreRejected(t *testing.T) {
	j := &Job{Steps: []Step{{Count: 1, RequiredLabel: strings.Repeat("x", MaxLabelBytes)}}}
	if err := j.ValidateNew(); err != nil {
		t.Error(err)
	}
	j.Steps[0].DataRack = j.Steps[0].RequiredLabel + "x"
	if err := j.ValidateNew(); err == nil {
		t.Error("a long data rack is accepted")
	}
	if err := j.Validate(); err != nil {
		t.Errorf("a job that was accepted by an earlier release is ignored: %v", err)
	}
}
