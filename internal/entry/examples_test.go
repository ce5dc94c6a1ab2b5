package entry

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
	"masticcart.example/masticcart/internal/query"
)

// Guards against example rules that an operator cannot apply to a deployment of this size: ten workers of 8
// accelerators in each cell, three to a rack.
func TestExampleRules(t *testing.T) {
	var workers []placement.Upstream
	for i := range 10 {
		workers = append(workers, placement.Upstream{ID: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i/3), Units: 8, Free: 8})
	}
	for _, deployment := range []string{"baltoptika", "liptov"} {
		text, err := os.ReadFile("../../examples/" + deployment + "/rules.masticcart")
		if err != nil {
			t.Fatal(err)
		}
		c := &model.Config{Version: 1}
		check := func(c *model.Config) error {
			for _, name := range guaranteedCells(c) {
				if err := placement.CheckGuarantees(workers, name, c.Guarantees); err != nil {
					return err
				}
			}
			return nil
		}
		for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
			change, err := query.ParseChange(line)
			if err == nil {
				err = change.ConfigEdit(check, time.Time{})(c)
			}
			if err != nil {
				t.Errorf("%s: %s: %v", deployment, line, err)
			}
		}
		if len(c.Teams) != 4 || len(guaranteedCells(c)) != 3 {
			t.Errorf("%s: %d teams with guarantees in %d cells, want 4 and 3", deployment, len(c.Teams), len(guaranteedCells(c)))
		}
	}
}
