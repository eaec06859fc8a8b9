package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lupinkeel/lupinkeel/api"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// scriptCommands are what scripts may call beside testscript's own:
//
//	site [flags]            start a site and wait for its engines; see cmdSite
//	ask DAEMON COMMAND      ask as the operator; the answer is on stdout
//	await DAEMON ROWS TABLE wait until the table has so many rows
//	chat DAEMON MODEL [stream] [tokens=N] [key=K]
//	                        send a request and check that its answer is whole
//	chats N DAEMON MODEL    send N chats at once; all answers must be whole
//	http DAEMON METHOD PATH [BODY] [HEADER:VALUE ...]
//	                        call; status, headers and body are on stdout
//	sigkill | sigstop | sigcont | sigterm | restart NAME
//	gone NAME               wait until a process has ended
//	fault LINK JSON         switch a link's faults
//	control WHAT JSON       switch the platform's faults
//	leaving ENGINE          make an engine say that it is leaving
//	remember NAME INSTANCE  note the fence that the instance is at
//	noruns NAME SLACK       no run at that fence began later than the slack
//	                        after remember; the slack is a promised bound
//	load start | load stop  requests through all daemons, checked
//	logged PROCESS REGEXP   wait until the process has logged it
//	race DAEMON COMMAND DAEMON COMMAND
//	                        ask two at once; just one must be accepted
//	bgask NAME DAEMON COMMAND, bgend NAME RESULT
//	                        ask in the background; how it must have ended
//	same DAEMON ...         wait until all hold the same state
//	double                  append every record of the log once more
//	many N DAEMON COMMAND   ask N times, %d in the command counts
//	admin DAEMON            let lupinkeel ask speak to this daemon
//	request NAME            set $NAME to the id of the last chat
//	order INSTANCE NAME     give the instance the load order of the fence
//	                        that remember noted once more, late
//	together N MODEL key=K  send the same N times at once; one runs
//	bgchat NAME DAEMON MODEL tokens=N, bgchatend NAME
//	                        a stream in the background; it must end whole
//	unchanged NAME INSTANCE the instance is at the remembered fence still
//	storm SEED REQUESTS LINK ...
//	                        random faults on the links until the load has
//	                        sent so many requests; the seed fixes the faults
//	ready NAME ...          wait until the daemons take requests
//	elapse DURATION         let time pass, to see that nothing happens
var scriptCommands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"site":      cmdSite,
	"ask":       cmdAsk,
	"await":     cmdAwait,
	"chat":      cmdChat,
	"chats":     cmdChats,
	"http":      cmdHTTP,
	"sigkill":   process(func(b *bench, name string) error { return b.kill(name) }),
	"sigstop":   process(func(b *bench, name string) error { return b.signal(name, syscall.SIGSTOP) }),
	"sigcont":   process(func(b *bench, name string) error { return b.signal(name, syscall.SIGCONT) }),
	"sigterm":   process(func(b *bench, name string) error { return b.signal(name, syscall.SIGTERM) }),
	"restart":   process(func(b *bench, name string) error { return b.restart(name) }),
	"gone":      process(awaitGone),
	"ready":     process(awaitReady),
	"fault":     cmdFault,
	"control":   cmdControl,
	"leaving":   cmdLeaving,
	"remember":  cmdRemember,
	"noruns":    cmdNoRuns,
	"load":      cmdLoad,
	"logged":    cmdLogged,
	"together":  cmdTogether,
	"request":   cmdRequest,
	"order":     cmdOrder,
	"storm":     cmdStorm,
	"elapse":    cmdElapse,
	"bgchat":    cmdBackgroundChat,
	"bgchatend": cmdBackgroundChatEnd,
	"unchanged": cmdUnchanged,
	"admin":     cmdAdmin,
	"race":      cmdRace,
	"bgask":     cmdBackgroundAsk,
	"bgend":     cmdBackgroundEnd,
	"same":      cmdSame,
	"double":    cmdDouble,
	"many":      cmdMany,
}

const awaitFor = 30 * time.Second

func benchOf(ts *testscript.TestScript) *bench { return ts.Value(benchKey{}).(*bench) }

func need(ts *testscript.TestScript, args []string, least int, usage string) {
	if len(args) < least {
		ts.Fatalf("usage: %s", usage)
	}
}

func process(act func(*bench, string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			ts.Check(act(benchOf(ts), name))
		}
	}
}

func awaitGone(b *bench, name string) error {
	select {
	case <-b.procs[name].done:
		return nil
	case <-time.After(awaitFor):
		return fmt.Errorf("%s has not ended", name)
	}
}

// awaitReady waits until a daemon takes requests: one that has just started
// shows groups before it can show that its configuration is current.
func awaitReady(b *bench, name string) error {
	d, err := b.daemon(name)
	if err != nil {
		return err
	}
	return within(awaitFor, func() error {
		resp, err := http.Get(fmt.Sprintf("http://%s/readyz", d.callers))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusNoContent {
			return fmt.Errorf("%s is not ready: status %d", name, resp.StatusCode)
		}
		return nil
	})
}

// cmdSite reads -daemons N, -domain NAME:ZONE:ENGINES, -service NAME,
// -ignore-fences, -serve FLAG and -engine FLAG.
func cmdSite(ts *testscript.TestScript, _ bool, args []string) {
	spec := siteSpec{daemons: 3}
	for len(args) > 0 {
		flag := args[0]
		args = args[1:]
		if flag == "-ignore-fences" {
			spec.ignore = true
			continue
		}
		need(ts, args, 1, "site [-FLAG VALUE] ...")
		value := args[0]
		args = args[1:]
		switch flag {
		case "-daemons":
			n, err := strconv.Atoi(value)
			ts.Check(err)
			spec.daemons = n
		case "-domain":
			part := strings.Split(value, ":")
			n, err := strconv.Atoi(part[2])
			ts.Check(err)
			spec.domains = append(spec.domains, domainSpec{name: part[0], zone: part[1], engines: n})
		case "-service":
			spec.services = append(spec.services, value)
		case "-serve":
			spec.flags = append(spec.flags, value)
		case "-engine":
			spec.engine = append(spec.engine, value)
		default:
			ts.Fatalf("site: unknown flag %s", flag)
		}
	}
	ts.Check(benchOf(ts).startSite(spec))
	ts.Check(benchOf(ts).awaitEngines())
}

func (b *bench) ask(daemon, text string) (api.AskAnswer, error) {
	d, err := b.daemon(daemon)
	if err != nil {
		return api.AskAnswer{}, err
	}
	return api.Ask(context.Background(), d.admin, operatorToken, text, api.AskOptions{})
}

func cmdAsk(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 2, "ask DAEMON COMMAND")
	var answer api.AskAnswer
	text := strings.ReplaceAll(strings.Join(args[1:], " "), "$CALLER", api.HashToken(callerToken))
	text = strings.ReplaceAll(text, "$ID", ts.Getenv("ID"))
	// A daemon that is starting does not answer yet.
	err := within(awaitFor, func() (err error) {
		answer, err = benchOf(ts).ask(args[0], text)
		return err
	})
	ts.Check(err)
	data, err := json.MarshalIndent(answer, "", " ")
	ts.Check(err)
	fmt.Fprintln(ts.Stdout(), string(data))
	failed := answer.Error != nil || (answer.Change != nil && (answer.Change.Result == api.ChangeRefused || answer.Change.Result == api.ChangeUnknown))
	if failed != neg {
		ts.Fatalf("ask %s: %s", args[0], data)
	}
}

func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 3, "await DAEMON ROWS TABLE")
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	var last api.AskAnswer
	err = within(awaitFor, func() error {
		answer, err := benchOf(ts).ask(args[0], strings.Join(args[2:], " "))
		last = answer
		if err == nil && len(answer.Rows) != want {
			err = fmt.Errorf("%s: %d rows instead of %d", args[2], len(answer.Rows), want)
		}
		return err
	})
	if err != nil {
		for _, row := range last.Rows {
			ts.Logf("%s", strings.Join(row, " | "))
		}
		for _, line := range benchOf(ts).ended() {
			ts.Logf("%s", line)
		}
		ts.Fatalf("await %s: %v", args[0], err)
	}
}

// parseChat reads MODEL [stream] [tokens=N] [key=K].
func parseChat(ts *testscript.TestScript, args []string) chat {
	r := chat{model: args[0], tokens: 8, prompt: "asked by a script", header: http.Header{}}
	for _, a := range args[1:] {
		name, value, _ := strings.Cut(a, "=")
		switch name {
		case "tokens":
			n, err := strconv.Atoi(value)
			ts.Check(err)
			r.tokens = n
		case "key":
			r.key = value
		case "stream":
			r.stream = true
		default:
			ts.Fatalf("chat: unknown argument %s", a)
		}
	}
	return r
}

func cmdChat(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 2, "chat DAEMON MODEL [stream] [tokens=N] [key=K]")
	d, err := benchOf(ts).daemon(args[0])
	ts.Check(err)
	r := parseChat(ts, args[1:])
	var res result
	ts.Check(within(awaitFor, func() error {
		res = r.send(context.Background(), d.callers)
		if !neg && res.end == endNotRun && strings.Contains(res.detail, `"code":"overloaded"`) {
			// Beside a load a daemon may be full. A caller comes back then.
			return fmt.Errorf("%s is full: %s", args[0], res.detail)
		}
		return nil
	}))
	fmt.Fprintf(ts.Stdout(), "%+v\n", res)
	benchOf(ts).lastRequest = res.request
	if (res.end == endWhole) == neg {
		ts.Fatalf("chat %s %s: %+v", args[0], args[1], res)
	}
}

// cmdChats sends requests to one daemon, a few at a time.
func cmdChats(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 3, "chats N DAEMON MODEL")
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	d, err := benchOf(ts).daemon(args[1])
	ts.Check(err)
	r := parseChat(ts, args[2:])
	results := make(chan result, n)
	const atOnce = 4
	for worker := range atOnce {
		go func() {
			for i := worker; i < n; i += atOnce {
				asked := r
				asked.prompt = fmt.Sprintf("%s, number %d", r.prompt, i)
				results <- asked.send(context.Background(), d.callers)
			}
		}()
	}
	for range n {
		if res := <-results; res.end != endWhole {
			ts.Fatalf("chats %s: %+v", args[1], res)
		}
	}
}

func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "request NAME")
	ts.Setenv(args[0], benchOf(ts).lastRequest)
}

// cmdTogether sends one request many times at once through all daemons.
func cmdTogether(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 3, "together N MODEL key=K")
	b := benchOf(ts)
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	r := parseChat(ts, args[1:])
	ends := make(chan result, n)
	for i := range n {
		go func() { ends <- r.send(context.Background(), b.daemons[i%len(b.daemons)].callers) }()
	}
	var results []result
	for range n {
		results = append(results, <-ends)
	}
	if whole := countEnds(results)[endWhole]; whole != 1 {
		ts.Fatalf("%d of %d got a whole answer", whole, n)
	}
	ts.Check(checkKeys(results, runCounts(b.runs())))
}

func cmdHTTP(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 3, "http DAEMON METHOD PATH [BODY] [HEADER:VALUE ...]")
	d, err := benchOf(ts).daemon(args[0])
	ts.Check(err)
	body := ""
	if len(args) > 3 {
		body = args[3]
	}
	if n, ok := strings.CutPrefix(body, "length="); ok {
		length, err := strconv.Atoi(n)
		ts.Check(err)
		body = strings.Repeat("x", length)
	}
	req, err := http.NewRequest(args[1], "http://"+d.callers.String()+args[2], strings.NewReader(body))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	for _, h := range args[min(4, len(args)):] {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	ts.Check(err)
	fmt.Fprintf(ts.Stdout(), "status %d\n", resp.StatusCode)
	for _, name := range slices.Sorted(mapKeys(resp.Header)) {
		fmt.Fprintf(ts.Stdout(), "%s: %s\n", name, resp.Header.Get(name))
	}
	fmt.Fprintf(ts.Stdout(), "%s\n", text)
}

func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "fault LINK JSON")
	b := benchOf(ts)
	body := args[1]
	for _, d := range b.daemons {
		body = strings.ReplaceAll(body, "@"+d.name, d.source.String())
	}
	ts.Check(post(fmt.Sprintf("http://%s/links/%s", b.proxy, args[0]), body))
}

func cmdControl(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "control WHAT JSON")
	ts.Check(post(fmt.Sprintf("http://%s/control/%s", benchOf(ts).platform, args[0]), args[1]))
}

func cmdLeaving(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "leaving ENGINE")
	addr := benchOf(ts).engines[models.InstanceID(args[0])]
	ts.Check(post(fmt.Sprintf("http://%s/control/leaving", addr), "{}"))
}

// memory is what remember notes.
type memory struct {
	fence models.Fence
	at    time.Time
}

func (b *bench) fenceOf(instance string) (models.Fence, error) {
	type status struct {
		Fence models.Fence `json:"fence"`
	}
	s, err := fetch[status](fmt.Sprintf("http://%s/status", b.engines[models.InstanceID(instance)]))
	return s.Fence, err
}

// cmdOrder is a doubled order that comes late. It succeeds if the instance
// obeys.
func cmdOrder(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 2, "order INSTANCE NAME")
	b := benchOf(ts)
	order, err := json.Marshal(types.Order{
		Kind: types.OrderLoad, Group: "from-the-past", Fence: b.memories[args[1]].fence, Model: "brief", Version: "v1",
	})
	ts.Check(err)
	err = post(fmt.Sprintf("http://%s/orders", b.engines[models.InstanceID(args[0])]), string(order))
	if (err != nil) != neg {
		ts.Fatalf("order to %s: %v", args[0], err)
	}
}

func cmdUnchanged(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "unchanged NAME INSTANCE")
	b := benchOf(ts)
	fence, err := b.fenceOf(args[1])
	ts.Check(err)
	if want := b.memories[args[0]].fence; fence != want {
		ts.Fatalf("%s is at fence %d, it was at %d", args[1], fence, want)
	}
}

func cmdBackgroundChat(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 3, "bgchat NAME DAEMON MODEL [tokens=N] [key=K]")
	b := benchOf(ts)
	d, err := b.daemon(args[1])
	ts.Check(err)
	end := make(chan result, 1)
	b.chats[args[0]] = end
	r := parseChat(ts, args[2:])
	r.prompt, r.stream = "background "+args[0], true
	go func() { end <- r.send(context.Background(), d.callers) }()
}

func cmdBackgroundChatEnd(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "bgchatend NAME")
	if res := <-benchOf(ts).chats[args[0]]; res.end != endWhole {
		ts.Fatalf("%s: %+v", args[0], res)
	}
}

func cmdRemember(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "remember NAME INSTANCE")
	b := benchOf(ts)
	fence, err := b.fenceOf(args[1])
	ts.Check(err)
	b.memories[args[0]] = memory{fence: fence, at: time.Now()}
}

func cmdNoRuns(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "noruns NAME SLACK")
	b := benchOf(ts)
	slack, err := time.ParseDuration(args[1])
	ts.Check(err)
	m, ok := b.memories[args[0]]
	if !ok || m.fence == 0 {
		ts.Fatalf("noruns: %s was not remembered in a group", args[0])
	}
	for _, r := range b.runs() {
		if late := r.Started.Sub(m.at); r.Fence == m.fence && late > slack {
			ts.Fatalf("request %s began on the old group %s after it was broken", r.Request, late)
		}
	}
}

// runs lists what the engines that answer have begun.
func (b *bench) runs() []standin.RunReport {
	var out []standin.RunReport
	for _, addr := range b.engines {
		reports, err := fetch[[]standin.RunReport](fmt.Sprintf("http://%s/control/runs", addr))
		if err == nil {
			out = append(out, reports...)
		}
	}
	return out
}

func cmdLogged(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 2, "logged PROCESS REGEXP")
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	find := func() error {
		data, err := os.ReadFile(benchOf(ts).procs[args[0]].log)
		if err == nil && !pattern.Match(data) {
			err = fmt.Errorf("%s has not logged %s", args[0], args[1])
		}
		return err
	}
	if neg {
		if find() == nil {
			ts.Fatalf("%s has logged %s", args[0], args[1])
		}
		return
	}
	ts.Check(within(awaitFor, find))
}

func cmdAdmin(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "admin DAEMON")
	d, err := benchOf(ts).daemon(args[0])
	ts.Check(err)
	ts.Setenv("LUPINKEEL_ADMIN", d.admin.String())
}

// cmdElapse lets time pass where a script has nothing to wait for: it
// proves that something does not happen.
func cmdElapse(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "elapse DURATION")
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "load start|stop [model ...]")
	b := benchOf(ts)
	if args[0] == "start" {
		var targets []netip.AddrPort
		for _, d := range b.daemons {
			targets = append(targets, d.callers)
		}
		b.load = startLoad(targets, args[1:])
		return
	}
	b.load.stop()
	summary, err := b.load.check(b.runs())
	fmt.Fprintln(ts.Stdout(), summary)
	ts.Logf("%s", summary)
	b.load = nil
	ts.Check(err)
}
