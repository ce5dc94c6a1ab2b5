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
	"masticcart.example/masticcart/internal/model"
)

// GuaranteeCheck refuses a configuration whose guarantees do not fit into the workers. It must not modify it.
type GuaranteeCheck func(*model.Config) error

// Change is a parsed sequence of commands that is applied as a whole or not at all.
type Change struct {
	steps []step
}

// step is one command.
type step struct {
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
		return nil, parseError(err, afterCommand(script, text, err))
	}
	c := &Change{}
	for _, cmd := range script.Commands {
		s, err := cmd.step()
		if err != nil {
			return nil, err
		}
		s.command = cmd
		c.steps = append(c.steps, s)
	}
	return c, nil
}

// Summary tells in words what the change does.
func (c *Change) Summary() string {
	parts := make([]string, len(c.steps))
	for i, s := range c.steps {
		parts[i] = s.summary
	}
	return strings.Join(parts, "; ")
}

// ConfigEdit returns the function that applies the change, for config.Repository.Change. The check may be nil. It is
// called with a valid configuration and only if the change promises more than before: a lost worker must not keep
// operators from changes that do not make the shortage worse.
func (c *Change) ConfigEdit(check GuaranteeCheck) func(*model.Config) error {
	return func(conf *model.Config) error {
		before := slices.Clone(conf.Guarantees)
		for _, s := range c.steps {
			if err := s.apply(conf); err != nil {
				return &CommandError{Line: s.command.Pos.Line, Column: s.command.Pos.Column, Err: err}
			}
		}
		if err := config.Validate(conf); err != nil {
			return err
		}
		if check == nil || !promisesMore(before, conf.Guarantees) {
			return nil
		}
		return check(conf)
	}
}

func promisesMore(before, after []model.Guarantee) bool {
	for _, a := range after {
		i := findGuarantee(before, a.Team, a.Cell, a.Shape)
		if i < 0 || before[i].Count < a.Count {
			return true
		}
	}
	return false
}

func findGuarantee(list []model.Guarantee, team, cell string, shape model.Shape) int {
	return slices.IndexFunc(list, func(g model.Guarantee) bool {
		return g.Team == team && g.Cell == cell && g.Shape == shape
	})
}

// afterCommand tells what may follow the part of the text that was read.
func afterCommand(s *script, text string, err error) string {
	const end = `";" or the end of the text`
	var at participle.Error
	read := ""
	if errors.As(err, &at) {
		read = strings.TrimSpace(text[:at.Position().Offset])
	}
	if s == nil || len(s.Commands) == 0 || read == "" || strings.HasSuffix(read, ";") {
		return `"create" | "set" | "remove"`
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

func (c *command) step() (step, error) {
	switch {
	case c.Create != nil:
		return c.Create.create()
	case c.Set != nil && c.Set.Team != nil:
		return c.Set.Team.set()
	case c.Set != nil && c.Set.Guarantee != nil:
		return c.Set.Guarantee.set()
	case c.Set != nil && c.Set.Rule != nil:
		return c.Set.Rule.set()
	case c.Set != nil && c.Set.Weights != nil:
		return c.Set.Weights.set()
	case c.Set != nil:
		return setOperators(c.Set.Operators)
	case c.Remove.Team != nil:
		return removeTeam(*c.Remove.Team)
	case c.Remove.Guarantee != nil:
		return c.Remove.Guarantee.remove()
	}
	return removeRule(*c.Remove.Rule)
}

// teamUpdate is what the options of a team command set; nil leaves a field as it is.
type teamUpdate struct {
	hashes []string
	quota  *int
}

func (t *teamCommand) update() (teamUpdate, string, error) {
	var u teamUpdate
	for _, o := range t.Options {
		switch {
		case o.TokenHash != nil:
			h, err := o.TokenHash.tokenHash()
			if err != nil {
				return u, "", err
			}
			u.hashes = append(u.hashes, h)
		case u.quota != nil:
			return u, "", errorAt(*o.MaxAccelerators, "max-accelerators only once")
		default:
			n, err := o.MaxAccelerators.count()
			if err != nil {
				return u, "", err
			}
			u.quota = &n
		}
	}
	words := ""
	if u.hashes != nil {
		words += fmt.Sprintf(", %d tokens", len(u.hashes))
	}
	if u.quota != nil {
		words += fmt.Sprintf(", max-accelerators %d", *u.quota)
	}
	return u, words, t.Name.checkName("a team name")
}

// tokenHashChars is the length of a SHA-256 in hex digits.
const tokenHashChars = 64

func (w *word) tokenHash() (string, error) {
	h := strings.ToLower(w.Text)
	if _, err := hex.DecodeString(h); err != nil || len(h) != tokenHashChars {
		return "", errorAt(*w, "a SHA-256 of 64 hex digits, as printed by 'masticcart token hash'")
	}
	return h, nil
}

// setOperators replaces the operators' tokens. From then on the bootstrap token of the settings is refused.
func setOperators(words []*word) (step, error) {
	hashes := make([]string, 0, len(words))
	for _, w := range words {
		h, err := w.tokenHash()
		if err != nil {
			return step{}, err
		}
		hashes = append(hashes, h)
	}
	return step{summary: fmt.Sprintf("set operators, %d tokens", len(hashes)), apply: func(c *model.Config) error {
		c.OperatorTokenHashes = slices.Clone(hashes)
		return nil
	}}, nil
}

func (u teamUpdate) apply(t *model.Team) {
	if u.hashes != nil {
		t.TokenHashes = slices.Clone(u.hashes)
	}
	if u.quota != nil {
		t.MaxAccelerators = *u.quota
	}
}

func (t *teamCommand) create() (step, error) {
	u, words, err := t.update()
	return step{summary: "create team " + t.Name.Text + words, apply: func(c *model.Config) error {
		if c.Team(t.Name.Text) != nil {
			return fmt.Errorf("team %s exists already", t.Name.Text)
		}
		team := model.Team{Name: t.Name.Text}
		u.apply(&team)
		c.Teams = append(c.Teams, team)
		return nil
	}}, err
}

func (t *teamCommand) set() (step, error) {
	if len(t.Options) == 0 {
		return step{}, errorAt(t.Name, `"token-hash" or "max-accelerators" after the team name`)
	}
	u, words, err := t.update()
	return step{summary: "set team " + t.Name.Text + words, apply: func(c *model.Config) error {
		team := c.Team(t.Name.Text)
		if team == nil {
			return fmt.Errorf("no team %s", t.Name.Text)
		}
		u.apply(team)
		return nil
	}}, err
}

func removeTeam(name word) (step, error) {
	return step{summary: "remove team " + name.Text, apply: func(c *model.Config) error {
		n := len(c.Teams)
		c.Teams = slices.DeleteFunc(c.Teams, func(t model.Team) bool { return t.Name == name.Text })
		if len(c.Teams) == n {
			return fmt.Errorf("no team %s", name.Text)
		}
		return nil
	}}, nil
}

func (s *shapeClause) shape() (model.Shape, error) {
	n, err := s.Accelerators.count()
	if err != nil {
		return model.Shape{}, err
	}
	shape := model.Shape{Accelerators: n, Adjacency: model.Adjacency(strings.ToLower(s.Adjacency))}
	if n == 0 || shape.Validate() != nil {
		return shape, errorAt(s.Accelerators, fmt.Sprintf("1 to %d accelerators", model.MaxGangAccelerators))
	}
	return shape, nil
}

func (g *guaranteeCommand) set() (step, error) {
	shape, err := g.Shape.shape()
	if err != nil {
		return step{}, err
	}
	n, err := g.Count.count()
	if err != nil || n == 0 {
		return step{}, errorAt(g.Count, "a count of at least 1; 'remove guarantee' ends a guarantee")
	}
	want := model.Guarantee{Team: g.Team.Text, Cell: g.Cell.Text, Shape: shape, Count: n}
	summary := fmt.Sprintf("set guarantee %s in %s to %d x %s", want.Team, want.Cell, n, shape)
	return step{summary: summary, apply: func(c *model.Config) error {
		if i := findGuarantee(c.Guarantees, want.Team, want.Cell, shape); i >= 0 {
			c.Guarantees[i].Count = n
			return nil
		}
		c.Guarantees = append(c.Guarantees, want)
		return nil
	}}, g.Cell.checkName("the name of a cell")
}

func (g *guaranteeRemoveCommand) remove() (step, error) {
	var shape *model.Shape
	summary := fmt.Sprintf("remove guarantee %s in %s", g.Team.Text, g.Cell.Text)
	if g.Shape != nil {
		s, err := g.Shape.shape()
		if err != nil {
			return step{}, err
		}
		shape = &s
		summary += " " + s.String()
	}
	return step{summary: summary, apply: func(c *model.Config) error {
		n := len(c.Guarantees)
		c.Guarantees = slices.DeleteFunc(c.Guarantees, func(have model.Guarantee) bool {
			return have.Team == g.Team.Text && have.Cell == g.Cell.Text && (shape == nil || have.Shape == *shape)
		})
		if len(c.Guarantees) == n {
			return errors.New("no such guarantee")
		}
		return nil
	}}, nil
}

// set replaces a rule as a whole, so that the command alone tells what is in force.
func (r *ruleCommand) set() (step, error) {
	if err := r.Kind.checkName("a kind"); err != nil {
		return step{}, err
	}
	n, err := r.Priority.count()
	if err != nil {
		return step{}, err
	}
	rule := model.Rule{
		Kind: r.Kind.Text, Class: model.Class(strings.ToLower(r.Class)), Priority: n, CrossRegionPrice: -1,
	}
	summary := fmt.Sprintf("set rule %s to class %s, priority %d", rule.Kind, rule.Class, n)
	for _, o := range r.Options {
		if o.MaxWait != nil {
			rule.MaxWait, err = o.MaxWait.duration()
			summary += ", max-wait " + rule.MaxWait.String()
		} else {
			rule.CrossRegionPrice, err = o.CrossRegionPrice.price()
			summary += ", cross-region-price " + strings.ToLower(o.CrossRegionPrice.Text)
		}
		if err != nil {
			return step{}, err
		}
	}
	return step{summary: summary, apply: func(c *model.Config) error {
		c.Rules = slices.DeleteFunc(c.Rules, func(have model.Rule) bool { return have.Kind == rule.Kind })
		c.Rules = append(c.Rules, rule)
		return nil
	}}, nil
}

func removeRule(kind word) (step, error) {
	return step{summary: "remove rule " + kind.Text, apply: func(c *model.Config) error {
		n := len(c.Rules)
		c.Rules = slices.DeleteFunc(c.Rules, func(r model.Rule) bool { return r.Kind == kind.Text })
		if len(c.Rules) == n {
			return fmt.Errorf("no rule %s", kind.Text)
		}
		return nil
	}}, nil
}

func (w *weightsCommand) set() (step, error) {
	completion, err := w.CompletionTime.weight()
	if err != nil {
		return step{}, err
	}
	fragmentation, err := w.Fragmentation.weight()
	summary := fmt.Sprintf("set weights completion-time %g fragmentation %g", completion, fragmentation)
	return step{summary: summary, apply: func(c *model.Config) error {
		c.Weights = model.Weights{CompletionTime: completion, Fragmentation: fragmentation}
		return nil
	}}, err
}

func (w word) checkName(expected string) error {
	if model.ValidName(w.Text) {
		return nil
	}
	return errorAt(w, expected+": 1 to 128 letters, digits, '.', '_' or '-'")
}

func (w word) weight() (float64, error) {
	f, err := strconv.ParseFloat(w.Text, 64)
	if err != nil || math.IsNaN(f) || f < 0 || f > 1 {
		return 0, errorAt(w, "a number from 0 to 1")
	}
	return f, nil
}

func (w word) duration() (time.Duration, error) {
	d, err := time.ParseDuration(w.Text)
	if err != nil || d < 0 {
		return 0, errorAt(w, "a duration such as 90s or 2h30m")
	}
	return d, nil
}

func (w word) price() (time.Duration, error) {
	if strings.EqualFold(w.Text, never) {
		return -1, nil
	}
	d, err := w.duration()
	if err != nil {
		return 0, errorAt(w, "a duration such as 250ms, or never")
	}
	return d, nil
}
