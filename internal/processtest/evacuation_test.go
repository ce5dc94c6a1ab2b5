package processtest

import (
	"fmt"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// TestEvacuatedCell guards against an evacuated cell in which jobs start, that ends the jobs which run there, that does
// not show what is left, or that stays unused after it was restored; and against jobs that wait there although another
// cell has room.
func TestEvacuatedCell(t *testing.T) {
	t.Parallel()
	s := deploymentSizes(1, 2)
	s.Regions = []string{"riga", "liepaja"}
	d := deploy(t, s)
	riga := d.clientFor(tokenOf(teamA), d.layout.APIs["riga"]...)
	runIn := func(id, cell string) {
		t.Helper()
		if err := d.submitGang(riga, id, gangSize, 300*time.Millisecond); err != nil {
			t.Fatal(err)
		}
		d.poll(id+" done in "+cell, outcomeTimeout, func() bool {
			return len(d.queryRows(fmt.Sprintf("show jobs where id = %s and cell = %s and state = done", id, cell))) == 1
		})
	}
	if err := d.submitGang(riga, "before", gangSize, 8*time.Second); err != nil {
		t.Fatal(err)
	}
	d.poll("before runs", outcomeTimeout, func() bool { return d.unitsInUse(teamA+":before") == gangSize })
	d.changeConfig(1, "evacuate cell riga")
	d.waitVersion(2)
	if rows := d.queryRows("show evacuations where cell = riga and version = 2 and empty = no"); len(rows) != 1 {
		t.Errorf("evacuations %v, want riga with the running job", rows)
	}
	runIn("moved", "liepaja")
	d.poll("riga is empty", outcomeTimeout, func() bool {
		return len(d.queryRows("show evacuations where cell = riga and empty = yes")) == 1
	})
	// With both cells evacuated, a job waits instead of being refused.
	d.changeConfig(2, "evacuate cell liepaja")
	d.waitVersion(3)
	if err := d.submitGang(riga, "held", gangSize, 100*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	d.poll("held is explained", outcomeTimeout, func() bool {
		return len(d.queryRows(`show jobs where id = held and state = waiting and reason ~ "is evacuated since version 2"`)) == 1
	})
	d.changeConfig(3, "restore cell riga; restore cell liepaja")
	d.waitVersion(4)
	runIn("after", "riga")
	d.waitOutcomes()
	for _, id := range []string{"before", "moved", "held", "after"} {
		if o := d.workByKey[teamA+":"+id].outcome; o == nil || o.Result != model.ResultDone {
			t.Errorf("%s: outcome %+v, want done", id, o)
		}
	}
	if attempts := d.history().forKey(teamA + ":before").attempts(); len(attempts) != 1 {
		t.Errorf("%d attempts of the job that was running, want it to finish in the first", len(attempts))
	}
}
