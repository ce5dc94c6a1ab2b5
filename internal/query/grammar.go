package query

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// tokens is the lexer of both grammars. Names, numbers and durations are one kind of token, because a name may start
// with a digit. The meaning of a word is checked after parsing; its position is kept for the error.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `[ \t\r\n]+`},
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Word", Pattern: `[A-Za-z0-9.+_-][A-Za-z0-9.+_/:µ-]*`},
	{Name: "Operator", Pattern: `!=|<=|>=|[=<>~]`},
	{Name: "Separator", Pattern: `;`},
})

var options = []participle.Option{
	participle.Lexer(tokens),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.CaseInsensitive("Word"),
	participle.UseLookahead(2),
}

var (
	queryParser  = participle.MustBuild[statement](options...)
	changeParser = participle.MustBuild[script](options...)
)

// word is a name or a value with its position in the text.
type word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

type statement struct {
	Show    *showStatement `parser:"( @@"`
	Explain *word          `parser:"| \"explain\" \"job\" @@"`
	Status  bool           `parser:"| @(\"config\" \"status\") )"`
}

type showStatement struct {
	Table string       `parser:"\"show\" @(\"jobs\" | \"workers\" | \"upstreams\" | \"teams\" | \"guarantees\" | \"rules\" | \"entries\" | \"losses\" | \"evacuations\" | \"sharing\")"`
	Where []*condition `parser:"(\"where\" @@ (\"and\" @@)*)?"`
	Sort  *sortClause  `parser:"(\"sort\" \"by\" @@)?"`
	Limit *word        `parser:"(\"limit\" @@)?"`
}

type condition struct {
	Field    word   `parser:"@@"`
	Operator string `parser:"@(\"!=\" | \"<=\" | \">=\" | \"=\" | \"<\" | \">\" | \"~\")"`
	Value    word   `parser:"@@"`
}

type sortClause struct {
	Field word `parser:"@@"`
	Desc  bool `parser:"(\"asc\" | @\"desc\")?"`
}

type script struct {
	Commands []*command `parser:"@@ (\";\" @@)* \";\"?"`
}

type command struct {
	Pos    lexer.Position
	Create *teamCommand   `parser:"( \"create\" \"team\" @@"`
	Set    *setCommand    `parser:"| \"set\" @@"`
	Remove *removeCommand `parser:"| \"remove\" @@"`
	// Evacuate and Restore are names of cells.
	Evacuate *word `parser:"| \"evacuate\" \"cell\" @@"`
	Restore  *word `parser:"| \"restore\" \"cell\" @@ )"`
}

type setCommand struct {
	Team      *teamCommand      `parser:"( \"team\" @@"`
	Guarantee *guaranteeCommand `parser:"| \"guarantee\" @@"`
	Rule      *ruleCommand      `parser:"| \"rule\" @@"`
	Weights   *weightsCommand   `parser:"| \"weights\" @@"`
	Operators []*word           `parser:"| \"operators\" (\"token-hash\" @@)+ )"`
}

type removeCommand struct {
	Team      *word                   `parser:"( \"team\" @@"`
	Guarantee *guaranteeRemoveCommand `parser:"| \"guarantee\" @@"`
	Rule      *word                   `parser:"| \"rule\" @@ )"`
}

type teamCommand struct {
	Name    word          `parser:"@@"`
	Options []*teamOption `parser:"@@*"`
}

type teamOption struct {
	TokenHash       *word `parser:"( \"token-hash\" @@"`
	MaxAccelerators *word `parser:"| \"max-accelerators\" @@ )"`
}

type shapeClause struct {
	Accelerators word   `parser:"@@ (\"accelerators\" | \"accelerator\")"`
	Adjacency    string `parser:"\"adjacent\" @(\"worker\" | \"rack\" | \"datacenter\")"`
}

type guaranteeCommand struct {
	Team  word        `parser:"@@"`
	Cell  word        `parser:"\"in\" @@"`
	Shape shapeClause `parser:"@@"`
	Count word        `parser:"\"count\" @@"`
}

type guaranteeRemoveCommand struct {
	Team  word         `parser:"@@"`
	Cell  word         `parser:"\"in\" @@"`
	Shape *shapeClause `parser:"@@?"`
}

type ruleCommand struct {
	Kind     word          `parser:"@@"`
	Class    string        `parser:"\"class\" @(\"urgent\" | \"normal\" | \"deferrable\")"`
	Priority word          `parser:"\"priority\" @@"`
	Options  []*ruleOption `parser:"@@*"`
}

type ruleOption struct {
	MaxWait          *word `parser:"( \"max-wait\" @@"`
	CrossRegionPrice *word `parser:"| \"cross-region-price\" @@ )"`
}

type weightsCommand struct {
	CompletionTime word `parser:"\"completion-time\" @@"`
	Fragmentation  word `parser:"\"fragmentation\" @@"`
}
