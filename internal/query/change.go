package query

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"

	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/evacuation"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/model"
)

// GuaranteeCheck returns an error if the workers cannot hold the guarantees of the configuration. It must not modify
// the configuration.
type GuaranteeCheck func(*model.Config) error

// Change is a parsed sequence of commands, which are applied all together or not at all.
type Change struct {
	operations []operation
}

// operation is one parsed command with validated arguments. apply edits a configuration in place.
type operation struct {
	command *command
	summary string
	apply   func(*model.Config) error
}

// ParseChange parses commands that are separated by semicolons. Errors are of type *ParseError.
func ParseChange(text string) (*Change, error) {
	if err := checkLength(text); err != nil {
		return nil, err
	}
	script, err := changeParser.ParseString("", text)
	if err != nil {
		return nil, translateParserError(err, expectedAfterCommand(script, text, err))
	}
	c := &Change{}
	for _, cmd := range script.Commands {
		op, err := cmd.operation()
		if err != nil {
			return nil, err
		}
		op.command = cmd
		c.operations = append(c.operations, op)
	}
	return c, nil
}

// Summary describes the commands in one line, without token hashes.
func (c *Change) Summary() string {
	parts := make([]string, len(c.operations))
	for i, op := range c.operations {
		parts[i] = op.summary
	}
	return strings.Join(parts, "; ")
}

// ConfigEdit returns an edit for config.Repository.Change that applies the change. The check may be nil. It is called
// with a valid configuration, and only if the change adds or raises a guarantee: when guarantees are already unmet
// because a worker was lost, operators can still make changes that do not add to the shortage. now is recorded as the time
// of new requests to evacuate a cell.
func (c *Change) ConfigEdit(check GuaranteeCheck, now time.Time) func(*model.Config) error {
	return func(conf *model.Config) error {
		before := slices.Clone(conf.Guarantees)
		for _, op := range c.operations {
			if err := op.apply(conf); err != nil {
				return &CommandError{Line: op.command.Pos.Line, Column: op.command.Pos.Column, Err: err}
			}
		}
		for _, r := range conf.Evacuations.Requests() {
			if r.Since.IsZero() {
				r.Since = now
				conf.Evacuations = conf.Evacuations.With(r)
			}
		}
		if err := config.Validate(conf); err != nil {
			return err
		}
		if check == nil || !raisesGuarantees(before, conf.Guarantees) {
			return nil
		}
		return check(conf)
	}
}

// raisesGuarantees reports whether after contains a guarantee that before lacks or has with a lower count.
func raisesGuarantees(before, after []model.Guarantee) bool {
	for _, g := range after {
		i := guaranteeIndex(before, g.Team, g.Cell, g.Shape)
		if i < 0 || before[i].Count < g.Count {
			return true
		}
	}
	return false
}

func guaranteeIndex(list []model.Guarantee, team, cell string, shape model.Shape) int {
	return slices.IndexFunc(list, func(g model.Guarantee) bool {
		return g.Team == team && g.Cell == cell && g.Shape == shape
	})
}

// expectedAfterCommand describes what may follow the part of the text that the parser accepted before err. s is the
// partial parse result; it may be nil.
func expectedAfterCommand(s *script, text string, err error) string {
	const end = `";" or the end of the text`
	var parserErr participle.Error
	parsedText := ""
	if errors.As(err, &parserErr) {
		parsedText = strings.TrimSpace(text[:parserErr.Position().Offset])
	}
	if s == nil || len(s.Commands) == 0 || parsedText == "" || strings.HasSuffix(parsedText, ";") {
		return `"create" | "set" | "remove" | "evacuate" | "restore"`
	}
	last := s.Commands[len(s.Commands)-1]
	switch {
	case last.Create != nil || (last.Set != nil && last.Set.Team != nil):
		return `"token-hash" | "max-accelerators" | ` + end
	case last.Set != nil && last.Set.Rule != nil:
		return `"max-wait" | "cross-region-price" | ` + end
	}
	return end
}

// operation converts the parsed command. Errors are of type *ParseError.
func (c *command) operation() (operation, error) {
	switch {
	case c.Create != nil:
		return c.Create.createOperation()
	case c.Set != nil && c.Set.Team != nil:
		return c.Set.Team.setOperation()
	case c.Set != nil && c.Set.Guarantee != nil:
		return c.Set.Guarantee.setOperation()
	case c.Set != nil && c.Set.Rule != nil:
		return c.Set.Rule.setOperation()
	case c.Set != nil && c.Set.Weights != nil:
		return c.Set.Weights.setOperation()
	case c.Set != nil:
		return setOperatorsOperation(c.Set.Operators)
	case c.Evacuate != nil:
		return evacuateOperation(*c.Evacuate)
	case c.Restore != nil:
		return restoreOperation(*c.Restore)
	case c.Remove.Team != nil:
		return removeTeamOperation(*c.Remove.Team)
	case c.Remove.Guarantee != nil:
		return c.Remove.Guarantee.removeOperation()
	}
	return removeRuleOperation(*c.Remove.Rule)
}

// teamUpdate holds the fields that the options of a team command set. A nil field leaves the team's value unchanged.
type teamUpdate struct {
	tokenHashes     []string
	maxAccelerators *int
}

// parseOptions validates the team name and the options. It also returns the options' part of the summary.
func (t *teamCommand) parseOptions() (teamUpdate, string, error) {
	var u teamUpdate
	for _, o := range t.Options {
		switch {
		case o.TokenHash != nil:
			h, err := o.TokenHash.parseTokenHash()
			if err != nil {
				return u, "", err
			}
			u.tokenHashes = append(u.tokenHashes, h)
		case u.maxAccelerators != nil:
			return u, "", parseErrorAt(*o.MaxAccelerators, "max-accelerators only once")
		default:
			n, err := o.MaxAccelerators.parseCount()
			if err != nil {
				return u, "", err
			}
			u.maxAccelerators = &n
		}
	}
	optionSummary := ""
	if u.tokenHashes != nil {
		optionSummary += fmt.Sprintf(", %d tokens", len(u.tokenHashes))
	}
	if u.maxAccelerators != nil {
		optionSummary += fmt.Sprintf(", max-accelerators %d", *u.maxAccelerators)
	}
	return u, optionSummary, t.Name.validateName("a team name")
}

// tokenHashChars is the number of hex digits of a SHA-256.
const tokenHashChars = 64

// parseTokenHash parses a SHA-256 in hex digits and returns it in lower case.
func (w *word) parseTokenHash() (string, error) {
	h := strings.ToLower(w.Text)
	if _, err := hex.DecodeString(h); err != nil || len(h) != tokenHashChars {
		return "", parseErrorAt(*w, "a SHA-256 of 64 hex digits, as printed by 'masticcart token hash'")
	}
	return h, nil
}

// setOperatorsOperation replaces all operator token hashes. Once it is applied, the bootstrap token of the settings is
// rejected.
func setOperatorsOperation(hashWords []*word) (operation, error) {
	hashes := make([]string, 0, len(hashWords))
	for _, w := range hashWords {
		h, err := w.parseTokenHash()
		if err != nil {
			return operation{}, err
		}
		hashes = append(hashes, h)
	}
	return operation{summary: fmt.Sprintf("set operators, %d tokens", len(hashes)), apply: func(c *model.Config) error {
		c.OperatorTokenHashes = slices.Clone(hashes)
		return nil
	}}, nil
}

func (u teamUpdate) apply(t *model.Team) {
	if u.tokenHashes != nil {
		t.TokenHashes = slices.Clone(u.tokenHashes)
	}
	if u.maxAccelerators != nil {
		t.MaxAccelerators = *u.maxAccelerators
	}
}

func (t *teamCommand) createOperation() (operation, error) {
	u, optionSummary, err := t.parseOptions()
	return operation{summary: "create team " + t.Name.Text + optionSummary, apply: func(c *model.Config) error {
		if c.Team(t.Name.Text) != nil {
			return fmt.Errorf("team %s exists already", t.Name.Text)
		}
		team := model.Team{Name: t.Name.Text}
		u.apply(&team)
		c.Teams = append(c.Teams, team)
		return nil
	}}, err
}

func (t *teamCommand) setOperation() (operation, error) {
	if len(t.Options) == 0 {
		return operation{}, parseErrorAt(t.Name, `"token-hash" or "max-accelerators" after the team name`)
	}
	u, optionSummary, err := t.parseOptions()
	return operation{summary: "set team " + t.Name.Text + optionSummary, apply: func(c *model.Config) error {
		team := c.Team(t.Name.Text)
		if team == nil {
			return fmt.Errorf("no team %s", t.Name.Text)
		}
		u.apply(team)
		return nil
	}}, err
}

func removeTeamOperation(name word) (operation, error) {
	return operation{summary: "remove team " + name.Text, apply: func(c *model.Config) error {
		n := len(c.Teams)
		c.Teams = slices.DeleteFunc(c.Teams, func(t model.Team) bool { return t.Name == name.Text })
		if len(c.Teams) == n {
			return fmt.Errorf("no team %s", name.Text)
		}
		return nil
	}}, nil
}

func (s *shapeClause) parseShape() (model.Shape, error) {
	n, err := s.Accelerators.parseCount()
	if err != nil {
		return model.Shape{}, err
	}
	shape := model.Shape{Accelerators: n, Adjacency: model.Adjacency(strings.ToLower(s.Adjacency))}
	if n == 0 || shape.Validate() != nil {
		return shape, parseErrorAt(s.Accelerators, fmt.Sprintf("1 to %d accelerators", model.MaxGangAccelerators))
	}
	return shape, nil
}

func (g *guaranteeCommand) setOperation() (operation, error) {
	shape, err := g.Shape.parseShape()
	if err != nil {
		return operation{}, err
	}
	n, err := g.Count.parseCount()
	if err != nil || n == 0 {
		return operation{}, parseErrorAt(g.Count, "a count of at least 1; 'remove guarantee' ends a guarantee")
	}
	guarantee := model.Guarantee{Team: g.Team.Text, Cell: g.Cell.Text, Shape: shape, Count: n}
	summary := fmt.Sprintf("set guarantee %s in %s to %d x %s", guarantee.Team, guarantee.Cell, n, shape)
	return operation{summary: summary, apply: func(c *model.Config) error {
		if i := guaranteeIndex(c.Guarantees, guarantee.Team, guarantee.Cell, shape); i >= 0 {
			c.Guarantees[i].Count = n
			return nil
		}
		c.Guarantees = append(c.Guarantees, guarantee)
		return nil
	}}, g.Cell.validateName("the name of a cell")
}

func (g *guaranteeRemoveCommand) removeOperation() (operation, error) {
	var shape *model.Shape
	summary := fmt.Sprintf("remove guarantee %s in %s", g.Team.Text, g.Cell.Text)
	if g.Shape != nil {
		s, err := g.Shape.parseShape()
		if err != nil {
			return operation{}, err
		}
		shape = &s
		summary += " " + s.String()
	}
	return operation{summary: summary, apply: func(c *model.Config) error {
		n := len(c.Guarantees)
		c.Guarantees = slices.DeleteFunc(c.Guarantees, func(existing model.Guarantee) bool {
			return existing.Team == g.Team.Text && existing.Cell == g.Cell.Text && (shape == nil || existing.Shape == *shape)
		})
		if len(c.Guarantees) == n {
			return errors.New("no such guarantee")
		}
		return nil
	}}, nil
}

// setOperation replaces the whole rule, resetting options that are not given, so that the command alone shows the rule
// in force.
func (r *ruleCommand) setOperation() (operation, error) {
	if err := r.Kind.validateName("a kind"); err != nil {
		return operation{}, err
	}
	n, err := r.Priority.parseCount()
	if err != nil {
		return operation{}, err
	}
	rule := model.Rule{
		Kind: r.Kind.Text, Class: model.Class(strings.ToLower(r.Class)), Priority: n, CrossRegionPrice: -1,
	}
	summary := fmt.Sprintf("set rule %s to class %s, priority %d", rule.Kind, rule.Class, n)
	for _, o := range r.Options {
		if o.MaxWait != nil {
			rule.MaxWait, err = o.MaxWait.parseDuration()
			summary += ", max-wait " + rule.MaxWait.String()
		} else {
			rule.CrossRegionPrice, err = o.CrossRegionPrice.parsePrice()
			summary += ", cross-region-price " + strings.ToLower(o.CrossRegionPrice.Text)
		}
		if err != nil {
			return operation{}, err
		}
	}
	return operation{summary: summary, apply: func(c *model.Config) error {
		c.Rules = slices.DeleteFunc(c.Rules, func(existing model.Rule) bool { return existing.Kind == rule.Kind })
		c.Rules = append(c.Rules, rule)
		return nil
	}}, nil
}

func removeRuleOperation(kind word) (operation, error) {
	return operation{summary: "remove rule " + kind.Text, apply: func(c *model.Config) error {
		n := len(c.Rules)
		c.Rules = slices.DeleteFunc(c.Rules, func(r model.Rule) bool { return r.Kind == kind.Text })
		if len(c.Rules) == n {
			return fmt.Errorf("no rule %s", kind.Text)
		}
		return nil
	}}, nil
}

func (w *weightsCommand) setOperation() (operation, error) {
	completionTime, err := w.CompletionTime.parseWeight()
	if err != nil {
		return operation{}, err
	}
	fragmentation, err := w.Fragmentation.parseWeight()
	summary := fmt.Sprintf("set weights completion-time %g fragmentation %g", completionTime, fragmentation)
	return operation{summary: summary, apply: func(c *model.Config) error {
		c.Weights = model.Weights{CompletionTime: completionTime, Fragmentation: fragmentation}
		return nil
	}}, err
}

// evacuateOperation requests that nothing starts in a cell any more. ConfigEdit sets the time of the request.
func evacuateOperation(cell word) (operation, error) {
	return operation{summary: "evacuate cell " + cell.Text, apply: func(c *model.Config) error {
		if c.Evacuations.Contains(cell.Text) {
			return fmt.Errorf("cell %s is evacuated already", cell.Text)
		}
		c.Evacuations = c.Evacuations.With(
			evacuation.Request{Cell: cell.Text, Revision: kvstore.Revision(c.Version + 1)})
		return nil
	}}, cell.validateName("the name of a cell")
}

// restoreOperation withdraws the request to evacuate a cell.
func restoreOperation(cell word) (operation, error) {
	return operation{summary: "restore cell " + cell.Text, apply: func(c *model.Config) error {
		if !c.Evacuations.Contains(cell.Text) {
			return fmt.Errorf("cell %s is not evacuated", cell.Text)
		}
		c.Evacuations = c.Evacuations.Without(cell.Text)
		return nil
	}}, nil
}

func (w word) validateName(expected string) error {
	if model.ValidName(w.Text) {
		return nil
	}
	return parseErrorAt(w, expected+": 1 to 128 letters, digits, '.', '_' or '-'")
}

// parseWeight parses a number from 0 to 1.
func (w word) parseWeight() (float64, error) {
	f, err := strconv.ParseFloat(w.Text, 64)
	if err != nil || math.IsNaN(f) || f < 0 || f > 1 {
		return 0, parseErrorAt(w, "a number from 0 to 1")
	}
	return f, nil
}

// parseDuration parses a duration that is not negative.
func (w word) parseDuration() (time.Duration, error) {
	d, err := time.ParseDuration(w.Text)
	if err != nil || d < 0 {
		return 0, parseErrorAt(w, "a duration such as 90s or 2h30m")
	}
	return d, nil
}

// parsePrice parses the cross-region price of a rule: a duration, or -1 for "never".
func (w word) parsePrice() (time.Duration, error) {
	if strings.EqualFold(w.Text, neverText) {
		return -1, nil
	}
	d, err := w.parseDuration()
	if err != nil {
		return 0, parseErrorAt(w, "a duration such as 250ms, or never")
	}
	return d, nil
}
