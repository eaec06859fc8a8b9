// Package query implements the operators' command language: one grammar for queries and
// configuration changes, used on the command line, in files and over HTTP. A configuration
// file is a list of its commands.
//
// A command ends at the end of the line or with ";". A line that begins with white space
// continues the previous line. "#" starts a comment.
package query

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// ErrSyntax is returned for text that can't be parsed.
var ErrSyntax = errors.New("can't read the command")

// Script is a list of commands.
type Script struct {
	Commands []*Command `parser:"EOL* (@@ (EOL+ | EOF))*"`
}

// Command is a query or a change. Exactly one of its pointers is set.
type Command struct {
	Pos    lexer.Position
	Show   *Show   `parser:"  @@"`
	Why    *Why    `parser:"| @@"`
	Where  *Where  `parser:"| @@"`
	Plan   *Change `parser:"| \"plan\" @@"`
	Change *Change `parser:"| @@"`
}

// Show queries the rows of a table, or the configuration.
type Show struct {
	What  string  `parser:"\"show\" @Word"`
	Conds []*Cond `parser:"(\"where\" @@ (\"and\" @@)*)?"`
}

// Cond compares a column with a value.
type Cond struct {
	Pos   lexer.Position
	Field string `parser:"@Word"`
	Op    string `parser:"@Operator"`
	Value string `parser:"@(Word | String)"`
}

// Why asks why an entity is in its current state.
type Why struct {
	What string `parser:"\"why\" @(\"group\" | \"instance\" | \"request\" | \"stranded\" | \"daemon\")"`
	Name string `parser:"@(Word | String)?"`
}

// Where asks where a request ran.
type Where struct {
	Request string `parser:"\"where\" \"request\" @(Word | String)"`
}

// Change is a configuration change. Exactly one of its operations is set.
type Change struct {
	Pos     lexer.Position
	Set     *Set    `parser:"( @@"`
	Remove  *Remove `parser:"| @@"`
	Allow   *Allow  `parser:"| @@"`
	Limit   *Limit  `parser:"| @@"`
	Weigh   *Weigh  `parser:"| @@"`
	Drain   string  `parser:"| \"drain\" \"instance\" @Word"`
	Undrain string  `parser:"| \"undrain\" \"instance\" @Word )"`
	Base    *uint64 `parser:"(\"at\" \"revision\" @Word)?"`
	Note    string  `parser:"(\"because\" @String)?"`
}

// Set sets attributes of an entity. It creates the entity if it doesn't exist.
type Set struct {
	Kind  string  `parser:"\"set\" @(\"model\" | \"workspace\" | \"service\" | \"operator\")"`
	Name  string  `parser:"@Word"`
	Attrs []*Attr `parser:"@@*"`
}

// Attr is an attribute with its value or list of values.
type Attr struct {
	Pos    lexer.Position
	Key    string   `parser:"(?! \"because\" | \"at\") @Word"`
	Values []string `parser:"@(Word | String) (\",\" @(Word | String))*"`
}

// Remove removes an entity.
type Remove struct {
	Kind string `parser:"\"remove\" @(\"model\" | \"workspace\" | \"service\" | \"operator\")"`
	Name string `parser:"@Word"`
}

// Allow grants a workspace the use of models or services, or revokes it (Verb is "deny").
type Allow struct {
	Verb      string   `parser:"@(\"allow\" | \"deny\") \"workspace\""`
	Workspace string   `parser:"@Word"`
	Kind      string   `parser:"@(\"model\" | \"service\")"`
	Names     []string `parser:"@Word (\",\" @Word)*"`
}

// Limit sets the share or the concurrency limit of a workspace.
type Limit struct {
	Workspace string  `parser:"\"limit\" \"workspace\" @Word"`
	Attrs     []*Attr `parser:"@@+"`
}

// Weigh sets the weights of downtime and stranded accelerators in planning.
type Weigh struct {
	Downtime int `parser:"\"weigh\" \"downtime\" @Word"`
	Stranded int `parser:"\"stranded\" @Word"`
}

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Continue", Pattern: `\r?\n[ \t]+`},
	{Name: "EOL", Pattern: `[\r\n;]+`},
	{Name: "Space", Pattern: `[ \t]+`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Operator", Pattern: `!=|=|~|<|>`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Word", Pattern: `[A-Za-z0-9][A-Za-z0-9._@:/-]*`},
})

var parser = participle.MustBuild[Script](
	participle.Lexer(tokens),
	participle.Elide("Comment", "Continue", "Space"),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)

// MaxScriptLen is the maximum length of the text in bytes.
const MaxScriptLen = 1 << 20

// Parse parses commands. A syntax error wraps ErrSyntax and has the line and column.
//
// See ExampleParse.
func Parse(text string) ([]*Command, error) {
	if len(text) > MaxScriptLen {
		return nil, fmt.Errorf("%w: %d bytes, allowed are %d", ErrSyntax, len(text), MaxScriptLen)
	}
	script, err := parser.ParseString("", text)
	if err != nil {
		return nil, syntaxError(text, err)
	}
	return script.Commands, nil
}

func syntaxError(text string, err error) error {
	var at participle.Error
	if !errors.As(err, &at) {
		return fmt.Errorf("%w: %w", ErrSyntax, err)
	}
	pos := at.Position()
	lines := strings.Split(text, "\n")
	line := ""
	if pos.Line >= 1 && pos.Line <= len(lines) {
		line = strings.TrimRight(lines[pos.Line-1], "\r")
	}
	return fmt.Errorf("%w: line %d, column %d: %s\n  %s\n  %s^",
		ErrSyntax, pos.Line, pos.Column, at.Message(), line, strings.Repeat(" ", max(0, pos.Column-1)))
}
