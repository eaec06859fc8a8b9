// Package query is the operators' language: one small grammar for asking
// and changing, the same on the command line, in a file and over HTTP. A
// file of its commands is the configuration format.
//
// A command ends with its line or with ";". A line that begins with white
// space continues the one before. "#" starts a comment.
package query

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// ErrSyntax is returned for text that is no command. It tells the place.
var ErrSyntax = errors.New("can't read the command")

// Script is a list of commands.
type Script struct {
	Commands []*Command `parser:"EOL* (@@ (EOL+ | EOF))*"`
}

// Command is one command.
type Command struct {
	Pos    lexer.Position
	Show   *Show   `parser:"  @@"`
	Why    *Why    `parser:"| @@"`
	Where  *Where  `parser:"| @@"`
	Plan   *Change `parser:"| \"plan\" @@"`
	Change *Change `parser:"| @@"`
}

// Show asks for a table.
type Show struct {
	What  string  `parser:"\"show\" @Word"`
	Conds []*Cond `parser:"(\"where\" @@ (\"and\" @@)*)?"`
}

// Cond is one condition on a column.
type Cond struct {
	Pos   lexer.Position
	Field string `parser:"@Word"`
	Op    string `parser:"@Operator"`
	Value string `parser:"@(Word | String)"`
}

// Why asks for a reason.
type Why struct {
	What string `parser:"\"why\" @(\"group\" | \"instance\" | \"request\" | \"stranded\" | \"daemon\")"`
	Name string `parser:"@(Word | String)?"`
}

// Where asks where a request ran.
type Where struct {
	Request string `parser:"\"where\" \"request\" @(Word | String)"`
}

// Change asks for a change.
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

// Set puts values on an entity, which is made if it does not exist.
type Set struct {
	Kind  string  `parser:"\"set\" @(\"model\" | \"workspace\" | \"service\" | \"operator\")"`
	Name  string  `parser:"@Word"`
	Attrs []*Attr `parser:"@@*"`
}

// Attr is one value or list of values.
type Attr struct {
	Pos    lexer.Position
	Key    string   `parser:"(?! \"because\" | \"at\") @Word"`
	Values []string `parser:"@(Word | String) (\",\" @(Word | String))*"`
}

// Remove takes an entity away.
type Remove struct {
	Kind string `parser:"\"remove\" @(\"model\" | \"workspace\" | \"service\" | \"operator\")"`
	Name string `parser:"@Word"`
}

// Allow lets a workspace use models or services, or takes that back.
type Allow struct {
	Verb      string   `parser:"@(\"allow\" | \"deny\") \"workspace\""`
	Workspace string   `parser:"@Word"`
	Kind      string   `parser:"@(\"model\" | \"service\")"`
	Names     []string `parser:"@Word (\",\" @Word)*"`
}

// Limit changes what a workspace may take.
type Limit struct {
	Workspace string  `parser:"\"limit\" \"workspace\" @Word"`
	Attrs     []*Attr `parser:"@@+"`
}

// Weigh sets the weights between the two measures.
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

// MaxScriptLen is the longest text accepted, in bytes.
const MaxScriptLen = 1 << 20

// Parse reads commands. Its error wraps ErrSyntax and names line and column.
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
