// Package lockorder finds deadlocks in a program's source: mutexes that are locked in opposite
// orders, and channel operations that block while a mutex is locked.
package lockorder

import (
	"fmt"
	"go/token"
	"go/types"
	"maps"
	"slices"
	"strings"

	"golang.org/x/tools/go/callgraph"
	"golang.org/x/tools/go/callgraph/cha"
	"golang.org/x/tools/go/callgraph/vta"
	"golang.org/x/tools/go/packages"
	"golang.org/x/tools/go/ssa"
	"golang.org/x/tools/go/ssa/ssautil"
)

// Mutex names all mutexes in one place of the source, such as "pkg.Type.field". Mutexes of two values
// of a type are not told apart.
type Mutex string

// Finding is a place where a mutex is locked, or a channel operation blocks, while another mutex is
// locked.
type Finding struct {
	Pos  token.Position
	Held Mutex
	// Wants is the mutex that is locked there, empty if a channel operation blocks.
	Wants Mutex
	// Via is the function that is called there, empty if the place itself locks or blocks.
	Via string
}

// String returns the finding as a line of text.
func (f Finding) String() string {
	what := "blocks on a channel"
	if f.Wants != "" {
		what = "locks " + string(f.Wants)
	}
	if f.Via != "" {
		what = "calls " + f.Via + ", which " + what
	}
	return fmt.Sprintf("%s: holds %s and %s", f.Pos, f.Held, what)
}

// channel stands for any channel among the mutexes that a function locks.
const channel Mutex = ""

// Load returns the analysis of the packages that match the patterns, in a directory of their module.
// Functions of other modules are taken to lock nothing and to call nothing, except that those of the
// standard library that iterate, sort or the like call the functions that they are given.
func Load(dir string, patterns ...string) (*Analysis, error) {
	cfg := &packages.Config{Mode: packages.LoadSyntax | packages.NeedDeps | packages.NeedImports, Dir: dir}
	loaded, err := packages.Load(cfg, patterns...)
	if err != nil {
		return nil, err
	}
	for _, p := range loaded {
		if len(p.Errors) > 0 {
			return nil, fmt.Errorf("package %s: %w", p.PkgPath, p.Errors[0])
		}
	}
	program, _ := ssautil.Packages(loaded, ssa.InstantiateGenerics)
	program.Build()
	functions := ssautil.AllFunctions(program)
	a := &Analysis{
		program: program, graph: vta.CallGraph(functions, cha.CallGraph(program)),
		functions: map[*ssa.Function]*function{},
	}
	for f := range functions {
		if f.Blocks != nil {
			a.functions[f] = &function{wants: map[Mutex]bool{}}
		}
	}
	for f, known := range a.functions {
		a.walk(f, known)
	}
	a.propagate()
	return a, nil
}

// Analysis holds what each function of a program does to mutexes and channels.
type Analysis struct {
	program   *ssa.Program
	graph     *callgraph.Graph
	functions map[*ssa.Function]*function
}

// function is what one function does.
type function struct {
	// wants are the mutexes that it locks, also through its callees.
	wants map[Mutex]bool
	calls []call
	// direct are the findings at its own operations.
	direct []Finding
}

// call is a call of a function, or the passing of it to one that calls it, while mutexes are locked.
type call struct {
	pos    token.Pos
	callee *ssa.Function
	held   []Mutex
}

// walk records the operations of a function, with the mutexes that may be locked at each.
func (a *Analysis) walk(f *ssa.Function, known *function) {
	at := map[*ssa.BasicBlock]map[Mutex]bool{f.Blocks[0]: {}}
	for todo := []*ssa.BasicBlock{f.Blocks[0]}; len(todo) > 0; {
		block := todo[0]
		todo = todo[1:]
		held := maps.Clone(at[block])
		for _, instr := range block.Instrs {
			step(instr, held)
		}
		for _, next := range block.Succs {
			before, seen := at[next]
			merged := maps.Clone(held)
			maps.Copy(merged, before)
			if !seen || len(merged) > len(before) {
				at[next] = merged
				todo = append(todo, next)
			}
		}
	}
	for block, before := range at {
		held := maps.Clone(before)
		for _, instr := range block.Instrs {
			a.record(instr, slices.Sorted(maps.Keys(held)), known)
			step(instr, held)
		}
	}
}

// step updates the locked mutexes by an instruction.
func step(instr ssa.Instruction, held map[Mutex]bool) {
	// A deferred unlock leaves the mutex locked until the function returns.
	if call, ok := instr.(*ssa.Call); ok {
		switch m, op := mutexCall(&call.Call); op {
		case "Lock", "RLock":
			held[m] = true
		case "Unlock", "RUnlock":
			delete(held, m)
		}
	}
}

// record records what an instruction locks, calls or waits for.
func (a *Analysis) record(instr ssa.Instruction, held []Mutex, known *function) {
	want := func(m Mutex) {
		known.wants[m] = true
		for _, h := range held {
			known.direct = append(known.direct, Finding{Pos: a.program.Fset.Position(instr.Pos()), Held: h, Wants: m})
		}
	}
	switch instr := instr.(type) {
	case *ssa.Send:
		want(channel)
	case *ssa.UnOp:
		if instr.Op == token.ARROW {
			want(channel)
		}
	case *ssa.Select:
		if instr.Blocking {
			want(channel)
		}
	case *ssa.Call, *ssa.Defer:
		site := instr.(ssa.CallInstruction)
		if m, op := mutexCall(site.Common()); op != "" {
			if op == "Lock" || op == "RLock" {
				want(m)
			}
			return
		}
		for _, callee := range a.callees(site) {
			known.calls = append(known.calls, call{pos: instr.Pos(), callee: callee, held: held})
		}
	}
}

// callees returns the functions with a body that a call may run at once.
func (a *Analysis) callees(site ssa.CallInstruction) []*ssa.Function {
	var out []*ssa.Function
	if node := a.graph.Nodes[site.Parent()]; node != nil {
		for _, edge := range node.Out {
			if edge.Site == site {
				out = append(out, edge.Callee.Func)
			}
		}
	}
	if static := site.Common().StaticCallee(); static != nil && static.Blocks == nil && callsArguments(static) {
		for _, arg := range site.Common().Args {
			switch arg := arg.(type) {
			case *ssa.Function:
				out = append(out, arg)
			case *ssa.MakeClosure:
				out = append(out, arg.Fn.(*ssa.Function))
			}
		}
	}
	return slices.DeleteFunc(out, func(f *ssa.Function) bool { return a.functions[f] == nil })
}

// callsArguments reports whether a function of the standard library calls the functions that it is
// given before it returns.
func callsArguments(f *ssa.Function) bool {
	if origin := f.Origin(); origin != nil {
		f = origin
	}
	if f.Object() == nil || f.Object().Pkg() == nil {
		return false
	}
	return slices.Contains([]string{"maps", "slices", "sort", "strings", "sync"}, f.Object().Pkg().Path())
}

// propagate adds to each function what its callees lock, until nothing changes.
func (a *Analysis) propagate() {
	for changed := true; changed; {
		changed = false
		for _, f := range a.functions {
			before := len(f.wants)
			for _, c := range f.calls {
				maps.Copy(f.wants, a.functions[c.callee].wants)
			}
			changed = changed || len(f.wants) > before
		}
	}
}

// Findings returns all places where a mutex is locked, or a channel operation blocks, while another
// mutex is locked, in the order of the source.
func (a *Analysis) Findings() []Finding {
	var out []Finding
	for _, f := range a.functions {
		out = append(out, f.direct...)
		for _, c := range f.calls {
			for _, held := range c.held {
				for wants := range a.functions[c.callee].wants {
					out = append(out, Finding{Pos: a.program.Fset.Position(c.pos), Held: held, Wants: wants, Via: c.callee.String()})
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b Finding) int { return strings.Compare(a.String(), b.String()) })
	return slices.Compact(out)
}

// Cycles returns the findings that may wait for each other: those whose mutex is, through others or
// at once, locked while the mutex that they hold is wanted.
func (a *Analysis) Cycles() []Finding {
	findings := a.Findings()
	after := map[Mutex]map[Mutex]bool{}
	for _, f := range findings {
		if f.Wants == channel {
			continue
		}
		if after[f.Held] == nil {
			after[f.Held] = map[Mutex]bool{}
		}
		after[f.Held][f.Wants] = true
	}
	return slices.DeleteFunc(findings, func(f Finding) bool { return f.Wants == channel || !reaches(after, f.Wants, f.Held) })
}

// Blocking returns the findings at channel operations.
func (a *Analysis) Blocking() []Finding {
	return slices.DeleteFunc(a.Findings(), func(f Finding) bool { return f.Wants != channel })
}

// reaches reports whether a mutex is the other one, or is held where the other one is wanted, also
// through mutexes in between.
func reaches(after map[Mutex]map[Mutex]bool, from, to Mutex) bool {
	seen, todo := map[Mutex]bool{}, []Mutex{from}
	for len(todo) > 0 {
		m := todo[0]
		todo = todo[1:]
		if m == to {
			return true
		}
		if seen[m] {
			continue
		}
		seen[m] = true
		todo = append(todo, slices.Collect(maps.Keys(after[m]))...)
	}
	return false
}

// mutexCall returns the mutex and the method if a call is one of a mutex's method, and an empty method
// otherwise.
func mutexCall(c *ssa.CallCommon) (Mutex, string) {
	callee := c.StaticCallee()
	if callee == nil || callee.Object() == nil || callee.Object().Pkg() == nil || callee.Object().Pkg().Path() != "sync" || len(c.Args) == 0 {
		return "", ""
	}
	receiver := callee.Signature.Recv()
	if receiver == nil || !strings.HasSuffix(receiver.Type().String(), "Mutex") {
		return "", ""
	}
	return mutexName(c.Args[0]), callee.Name()
}

// mutexName returns the name of the mutex that a value points to.
func mutexName(v ssa.Value) Mutex {
	switch v := v.(type) {
	case *ssa.FieldAddr:
		owner := v.X.Type().Underlying().(*types.Pointer).Elem()
		return Mutex(owner.String() + "." + owner.Underlying().(*types.Struct).Field(v.Field).Name())
	case *ssa.Global:
		return Mutex(v.String())
	default:
		return Mutex(v.Parent().String() + "." + v.Name())
	}
}
