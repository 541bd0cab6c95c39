package operator

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// parsedLine is one query or command.
type parsedLine struct {
	Show    *show       `parser:"(  'show' @@"`
	Explain *name       `parser:" | 'explain' 'request' @@"`
	Cost    *moveClause `parser:" | 'cost' 'of' 'move' @@"`
	Move    *moveClause `parser:" | 'move' @@"`
	Cancel  *name       `parser:" | 'cancel' 'move' @@"`
	Stop    *name       `parser:" | 'stop' 'host' @@"`
	Set     *set        `parser:" | 'set' @@ )"`
	Options []option    `parser:"@@*"`
}

// show is a query for the history or a table.
type show struct {
	History *history    `parser:"  @@"`
	Table   *table      `parser:"| ( @@"`
	Where   []condition `parser:"    ( 'where' @@ ( 'and' @@ )* )? )"`
}

type history struct {
	Host *name `parser:"'history' ( 'of' (  'host' @@"`
	Move *name `parser:"                  | 'move' @@ ) )?"`
}

type table struct {
	Name string `parser:"@( 'work' | 'leaving' | 'endpoints' | 'hosts' | 'services' | 'organisations' | 'prices' | 'configuration' )"`
}

// condition is a comparison of a column with a value.
type condition struct {
	Column name   `parser:"@@"`
	Op     string `parser:"@Operator"`
	Value  name   `parser:"@@"`
}

type moveClause struct {
	Service name `parser:"@@"`
	From    name `parser:"'from' @@"`
	To      name `parser:"'to' @@"`
}

// set is a command that changes one field of the configuration.
type set struct {
	Service      *assignment      `parser:"  'service' @@"`
	Organisation *assignment      `parser:"| 'organisation' @@"`
	Price        *priceAssignment `parser:"| 'price' @@"`
}

type assignment struct {
	ID    name `parser:"@@"`
	Field name `parser:"@@"`
	Value name `parser:"'=' @@"`
}

type priceAssignment struct {
	Zone  name `parser:"@@"`
	Class name `parser:"@@"`
	Field name `parser:"@@"`
	Value name `parser:"'=' @@"`
}

// option is an option at the end of a command.
type option struct {
	Pos     lexer.Position
	Version *name `parser:"  'if' 'version' @@"`
	DryRun  bool  `parser:"| @'dry' 'run'"`
}

// name is a word or quoted text with its position.
type name struct {
	Pos  lexer.Position
	Text string `parser:"@( Word | Text )"`
}

// keywords lists the keywords of the grammar.
var keywords = []string{
	"show", "explain", "cost", "move", "cancel", "stop", "set",
	"work", "leaving", "endpoints", "hosts", "services", "organisations", "prices", "configuration", "history",
	"where", "and", "of", "from", "to", "host", "request", "service", "organisation", "price",
	"if", "version", "dry", "run",
}

var parser = participle.MustBuild[parsedLine](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Word", Pattern: `[A-Za-z0-9_.:+\-]+`},
		{Name: "Text", Pattern: `"[^"\\]*"`},
		{Name: "Operator", Pattern: `!=|<=|>=|=|<|>`},
		{Name: "Space", Pattern: `\s+`},
	})),
	participle.Elide("Space"),
	participle.Unquote("Text"),
)
