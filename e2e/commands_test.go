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

// scriptCommands are the commands that scripts have in addition to those of testscript:
//
//	site [flags]            start a site and wait for its engines; see cmdSite
//	ask DAEMON COMMAND      run an operator's command; stdout is the response
//	await DAEMON ROWS TABLE wait until the table has this number of rows
//	chat DAEMON MODEL [stream] [tokens=N] [key=K]
//	                        send a request and check that its response is complete
//	chats N DAEMON MODEL    send N chats; all responses must be complete
//	http DAEMON METHOD PATH [BODY] [HEADER:VALUE ...]
//	                        send an HTTP request; stdout is status, headers and body
//	sigkill | sigstop | sigcont | sigterm | restart NAME
//	exited NAME             wait until a process has exited
//	fault LINK JSON         set a link's faults
//	control WHAT JSON       set the platform's faults
//	leaving ENGINE          make an engine announce that it is leaving
//	savefence NAME INSTANCE note the instance's current fence
//	noruns NAME SLACK       check that no run with the saved fence started later than the
//	                        slack after savefence; the slack is a documented bound
//	load start | load stop  send requests through all daemons, and check them
//	logged PROCESS REGEXP   wait until the process has logged a match
//	race DAEMON COMMAND DAEMON COMMAND
//	                        run two commands at once; exactly one must be accepted
//	bgask NAME DAEMON COMMAND, bgend NAME RESULT
//	                        run a command in the background, and check its result
//	samestate DAEMON ...    wait until all daemons hold the same state
//	reappend                append every record of the log once more
//	repeat N DAEMON COMMAND run the command N times, with %d replaced by the count
//	admin DAEMON            make lupinkeel ask use this daemon
//	request NAME            set $NAME to the id of the last chat
//	order INSTANCE NAME     send the instance a load order with the saved fence, as a
//	                        delayed duplicate
//	concurrently N MODEL key=K
//	                        send the same request N times concurrently; exactly one runs
//	bgchat NAME DAEMON MODEL tokens=N, bgchatend NAME
//	                        read a stream in the background; it must be complete
//	samefence NAME INSTANCE check that the instance still has the saved fence
//	storm SEED REQUESTS LINK ...
//	                        inject random faults on the links until the load has sent
//	                        this number of requests; the seed determines the faults
//	ready NAME ...          wait until the daemons accept requests
//	sleep DURATION          wait, to show that something doesn't happen
var scriptCommands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"site":         cmdSite,
	"ask":          cmdAsk,
	"await":        cmdAwait,
	"chat":         cmdChat,
	"chats":        cmdChats,
	"http":         cmdHTTP,
	"sigkill":      forEachProcess(func(site *testSite, name string) error { return site.kill(name) }),
	"sigstop":      forEachProcess(func(site *testSite, name string) error { return site.signal(name, syscall.SIGSTOP) }),
	"sigcont":      forEachProcess(func(site *testSite, name string) error { return site.signal(name, syscall.SIGCONT) }),
	"sigterm":      forEachProcess(func(site *testSite, name string) error { return site.signal(name, syscall.SIGTERM) }),
	"restart":      forEachProcess(func(site *testSite, name string) error { return site.restart(name) }),
	"exited":       forEachProcess(awaitExited),
	"ready":        forEachProcess(awaitReady),
	"fault":        cmdFault,
	"control":      cmdControl,
	"leaving":      cmdLeaving,
	"savefence":    cmdSaveFence,
	"noruns":       cmdNoRuns,
	"load":         cmdLoad,
	"logged":       cmdLogged,
	"concurrently": cmdConcurrently,
	"request":      cmdRequest,
	"order":        cmdOrder,
	"storm":        cmdStorm,
	"sleep":        cmdSleep,
	"bgchat":       cmdBackgroundChat,
	"bgchatend":    cmdBackgroundChatEnd,
	"samefence":    cmdSameFence,
	"admin":        cmdAdmin,
	"race":         cmdRace,
	"bgask":        cmdBackgroundAsk,
	"bgend":        cmdBackgroundEnd,
	"samestate":    cmdSameState,
	"reappend":     cmdReappend,
	"repeat":       cmdRepeat,
}

const awaitTimeout = 30 * time.Second

func testSiteOf(ts *testscript.TestScript) *testSite { return ts.Value(testSiteKey{}).(*testSite) }

func requireArgs(ts *testscript.TestScript, args []string, minimum int, usage string) {
	if len(args) < minimum {
		ts.Fatalf("usage: %s", usage)
	}
}

func forEachProcess(act func(*testSite, string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			ts.Check(act(testSiteOf(ts), name))
		}
	}
}

func awaitExited(site *testSite, name string) error {
	select {
	case <-site.processes[name].done:
		return nil
	case <-time.After(awaitTimeout):
		return fmt.Errorf("%s has not exited", name)
	}
}

// awaitReady waits until a daemon accepts requests. A daemon that has just started shows groups
// before it can prove that its configuration is current.
func awaitReady(site *testSite, name string) error {
	d, err := site.daemon(name)
	if err != nil {
		return err
	}
	return retryFor(awaitTimeout, func() error {
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

// cmdSite parses -daemons N, -domain NAME:ZONE:ENGINES, -service NAME, -ignore-fences, -serve FLAG
// and -engine FLAG, and starts the site.
func cmdSite(ts *testscript.TestScript, _ bool, args []string) {
	spec := siteSpec{daemons: 3}
	for len(args) > 0 {
		flag := args[0]
		args = args[1:]
		if flag == "-ignore-fences" {
			spec.ignoreFences = true
			continue
		}
		requireArgs(ts, args, 1, "site [-FLAG VALUE] ...")
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
			spec.daemonFlags = append(spec.daemonFlags, value)
		case "-engine":
			spec.engineFlags = append(spec.engineFlags, value)
		default:
			ts.Fatalf("site: unknown flag %s", flag)
		}
	}
	ts.Check(testSiteOf(ts).startSite(spec))
	ts.Check(testSiteOf(ts).awaitEngines())
}

func (s *testSite) ask(daemon, text string) (api.AskResponse, error) {
	d, err := s.daemon(daemon)
	if err != nil {
		return api.AskResponse{}, err
	}
	return api.Ask(context.Background(), d.admin, operatorToken, text, api.AskOptions{})
}

func cmdAsk(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 2, "ask DAEMON COMMAND")
	var response api.AskResponse
	text := strings.ReplaceAll(strings.Join(args[1:], " "), "$CALLER", api.HashToken(callerToken))
	text = strings.ReplaceAll(text, "$ID", ts.Getenv("ID"))
	// A daemon that is starting doesn't respond yet.
	err := retryFor(awaitTimeout, func() (err error) {
		response, err = testSiteOf(ts).ask(args[0], text)
		return err
	})
	ts.Check(err)
	data, err := json.MarshalIndent(response, "", " ")
	ts.Check(err)
	fmt.Fprintln(ts.Stdout(), string(data))
	failed := response.Error != nil || (response.Change != nil && (response.Change.Result == api.ChangeRejected || response.Change.Result == api.ChangeUnknown))
	if failed != neg {
		ts.Fatalf("ask %s: %s", args[0], data)
	}
}

func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "await DAEMON ROWS TABLE")
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	var last api.AskResponse
	err = retryFor(awaitTimeout, func() error {
		response, err := testSiteOf(ts).ask(args[0], strings.Join(args[2:], " "))
		last = response
		if err == nil && len(response.Rows) != want {
			err = fmt.Errorf("%s: %d rows instead of %d", args[2], len(response.Rows), want)
		}
		return err
	})
	if err != nil {
		for _, row := range last.Rows {
			ts.Logf("%s", strings.Join(row, " | "))
		}
		for _, line := range testSiteOf(ts).exitedProcesses() {
			ts.Logf("%s", line)
		}
		ts.Fatalf("await %s: %v", args[0], err)
	}
}

// parseChat parses MODEL [stream] [tokens=N] [key=K].
func parseChat(ts *testscript.TestScript, args []string) chatRequest {
	r := chatRequest{model: args[0], tokens: 8, prompt: "asked by a script", header: http.Header{}}
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
	requireArgs(ts, args, 2, "chat DAEMON MODEL [stream] [tokens=N] [key=K]")
	d, err := testSiteOf(ts).daemon(args[0])
	ts.Check(err)
	r := parseChat(ts, args[1:])
	var res result
	ts.Check(retryFor(awaitTimeout, func() error {
		res = r.send(context.Background(), d.callers)
		if !neg && res.end == outcomeNotRun && strings.Contains(res.detail, `"code":"overloaded"`) {
			// A daemon under load may reject a request for lack of capacity; a caller retries then.
			return fmt.Errorf("%s is overloaded: %s", args[0], res.detail)
		}
		return nil
	}))
	fmt.Fprintf(ts.Stdout(), "%+v\n", res)
	testSiteOf(ts).lastRequest = res.request
	if (res.end == outcomeComplete) == neg {
		ts.Fatalf("chat %s %s: %+v", args[0], args[1], res)
	}
}

// cmdChats sends N requests to one daemon, with at most four in flight.
func cmdChats(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "chats N DAEMON MODEL")
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	d, err := testSiteOf(ts).daemon(args[1])
	ts.Check(err)
	r := parseChat(ts, args[2:])
	results := make(chan result, n)
	const concurrency = 4
	for worker := range concurrency {
		go func() {
			for i := worker; i < n; i += concurrency {
				req := r
				req.prompt = fmt.Sprintf("%s, number %d", r.prompt, i)
				results <- req.send(context.Background(), d.callers)
			}
		}()
	}
	for range n {
		if res := <-results; res.end != outcomeComplete {
			ts.Fatalf("chats %s: %+v", args[1], res)
		}
	}
}

func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "request NAME")
	ts.Setenv(args[0], testSiteOf(ts).lastRequest)
}

// cmdConcurrently sends the same request N times concurrently through all daemons.
func cmdConcurrently(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "concurrently N MODEL key=K")
	site := testSiteOf(ts)
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	r := parseChat(ts, args[1:])
	ends := make(chan result, n)
	for i := range n {
		go func() { ends <- r.send(context.Background(), site.daemons[i%len(site.daemons)].callers) }()
	}
	var results []result
	for range n {
		results = append(results, <-ends)
	}
	if complete := countOutcomes(results)[outcomeComplete]; complete != 1 {
		ts.Fatalf("%d of %d got a complete response", complete, n)
	}
	ts.Check(checkKeys(results, runCounts(site.runs())))
}

func cmdHTTP(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "http DAEMON METHOD PATH [BODY] [HEADER:VALUE ...]")
	d, err := testSiteOf(ts).daemon(args[0])
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
	for _, name := range slices.Sorted(keysOf(resp.Header)) {
		fmt.Fprintf(ts.Stdout(), "%s: %s\n", name, resp.Header.Get(name))
	}
	fmt.Fprintf(ts.Stdout(), "%s\n", text)
}

func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "fault LINK JSON")
	site := testSiteOf(ts)
	body := args[1]
	for _, d := range site.daemons {
		body = strings.ReplaceAll(body, "@"+d.name, d.source.String())
	}
	ts.Check(post(fmt.Sprintf("http://%s/links/%s", site.proxy, args[0]), body))
}

func cmdControl(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "control WHAT JSON")
	ts.Check(post(fmt.Sprintf("http://%s/control/%s", testSiteOf(ts).platform, args[0]), args[1]))
}

func cmdLeaving(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "leaving ENGINE")
	addr := testSiteOf(ts).engines[models.InstanceID(args[0])]
	ts.Check(post(fmt.Sprintf("http://%s/control/leaving", addr), "{}"))
}

// savedFence is a fence that savefence has noted, and when.
type savedFence struct {
	fence models.Fence
	noted time.Time
}

func (s *testSite) fenceOf(instance string) (models.Fence, error) {
	type status struct {
		Fence models.Fence `json:"fence"`
	}
	found, err := fetch[status](fmt.Sprintf("http://%s/status", s.engines[models.InstanceID(instance)]))
	return found.Fence, err
}

// cmdOrder sends a delayed duplicate of an order. It succeeds if the instance accepts the order.
func cmdOrder(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 2, "order INSTANCE NAME")
	site := testSiteOf(ts)
	order, err := json.Marshal(types.Order{
		Kind: types.OrderLoad, Group: "from-the-past", Fence: site.savedFences[args[1]].fence, Model: "brief", Version: "v1",
	})
	ts.Check(err)
	err = post(fmt.Sprintf("http://%s/orders", site.engines[models.InstanceID(args[0])]), string(order))
	if (err != nil) != neg {
		ts.Fatalf("order to %s: %v", args[0], err)
	}
}

func cmdSameFence(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "samefence NAME INSTANCE")
	site := testSiteOf(ts)
	fence, err := site.fenceOf(args[1])
	ts.Check(err)
	if want := site.savedFences[args[0]].fence; fence != want {
		ts.Fatalf("%s is at fence %d, it was at %d", args[1], fence, want)
	}
}

func cmdBackgroundChat(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "bgchat NAME DAEMON MODEL [tokens=N] [key=K]")
	site := testSiteOf(ts)
	d, err := site.daemon(args[1])
	ts.Check(err)
	end := make(chan result, 1)
	site.backgroundChats[args[0]] = end
	r := parseChat(ts, args[2:])
	r.prompt, r.stream = "background "+args[0], true
	go func() { end <- r.send(context.Background(), d.callers) }()
}

func cmdBackgroundChatEnd(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "bgchatend NAME")
	if res := <-testSiteOf(ts).backgroundChats[args[0]]; res.end != outcomeComplete {
		ts.Fatalf("%s: %+v", args[0], res)
	}
}

func cmdSaveFence(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "savefence NAME INSTANCE")
	site := testSiteOf(ts)
	fence, err := site.fenceOf(args[1])
	ts.Check(err)
	site.savedFences[args[0]] = savedFence{fence: fence, noted: time.Now()}
}

func cmdNoRuns(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "noruns NAME SLACK")
	site := testSiteOf(ts)
	slack, err := time.ParseDuration(args[1])
	ts.Check(err)
	saved, ok := site.savedFences[args[0]]
	if !ok || saved.fence == 0 {
		ts.Fatalf("noruns: %s is no saved fence of a group", args[0])
	}
	for _, r := range site.runs() {
		if delay := r.Started.Sub(saved.noted); r.Fence == saved.fence && delay > slack {
			ts.Fatalf("request %s started on the old group %s after savefence", r.Request, delay)
		}
	}
}

// runs returns the runs that the reachable engines have started.
func (s *testSite) runs() []standin.RunReport {
	var out []standin.RunReport
	for _, addr := range s.engines {
		reports, err := fetch[[]standin.RunReport](fmt.Sprintf("http://%s/control/runs", addr))
		if err == nil {
			out = append(out, reports...)
		}
	}
	return out
}

func cmdLogged(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 2, "logged PROCESS REGEXP")
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	find := func() error {
		data, err := os.ReadFile(testSiteOf(ts).processes[args[0]].log)
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
	ts.Check(retryFor(awaitTimeout, find))
}

func cmdAdmin(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "admin DAEMON")
	d, err := testSiteOf(ts).daemon(args[0])
	ts.Check(err)
	ts.Setenv("LUPINKEEL_ADMIN", d.admin.String())
}

// cmdSleep waits in a script that has no event to wait for: it shows that something doesn't happen.
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "sleep DURATION")
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "load start|stop [model ...]")
	site := testSiteOf(ts)
	if args[0] == "start" {
		var targets []netip.AddrPort
		for _, d := range site.daemons {
			targets = append(targets, d.callers)
		}
		site.load = startLoad(targets, args[1:])
		return
	}
	site.load.stop()
	summary, err := site.load.check(site.runs())
	fmt.Fprintln(ts.Stdout(), summary)
	ts.Logf("%s", summary)
	site.load = nil
	ts.Check(err)
}
