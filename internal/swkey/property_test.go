package swkey

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const propertySeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", propertySeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// action is one step of a random history.
type action struct {
	Kind    string
	VM      int
	Other   int
	Key     int
	Percent int
	Wait    time.Duration
}

var (
	vmNames     = []string{"a", "b", "c", "d"}
	actionKinds = []string{
		"issue", "issue", "issue", "send", "send", "send", "send", "send", "send", "send", "send", "send", "send",
		"pause", "resume", "resume", "kill", "replace", "replace", "handover", "partition", "heal", "heal", "lose", "deliver",
		"deliver", "refuse", "accept", "accept", "break", "platform down", "platform up", "platform up", "platform loses",
	}
)

func drawAction(t *rapid.T) action {
	return action{
		Kind:    rapid.SampledFrom(actionKinds).Draw(t, "kind"),
		VM:      rapid.IntRange(0, len(vmNames)-1).Draw(t, "vm"),
		Other:   rapid.IntRange(0, len(vmNames)-1).Draw(t, "other"),
		Key:     rapid.IntRange(0, 5).Draw(t, "key"),
		Percent: rapid.IntRange(10, 60).Draw(t, "percent"),
		Wait:    time.Duration(rapid.SampledFrom([]int{0, 1, 20, 120, 700, 3000}).Draw(t, "wait")) * time.Millisecond,
	}
}

// history applies actions and collects the requests sent and their answers.
type history struct {
	network *fakeNetwork
	// keys holds two keys that the caller chose, followed by issued keys.
	keys []string

	mutex   sync.Mutex
	answers []answer
}

// answer is a request and the outcome that its caller got.
type answer struct {
	key        string
	body       string
	deadline   time.Time
	outcome    Outcome
	answeredAt time.Time
}

// saysWillNotRun reports whether the answer promises that the request can no longer begin a run.
func (answer *answer) saysWillNotRun() bool {
	return answer.outcome.Code == swcode.IssuerUnreachable || answer.outcome.Code == swcode.IssuerGone
}

func (history *history) apply(action action) {
	network := history.network
	name, other := vmNames[action.VM], vmNames[action.Other]
	switch action.Kind {
	case "issue":
		batch, err := network.vms[name].service.Issue(context.Background(), 1)
		if err == nil && !network.isDead(network.vms[name]) {
			history.keys = append(history.keys, batch.Keys...)
		}
	case "send":
		history.send(network.vms[name], history.keys[len(history.keys)-1-action.Key%len(history.keys)])
	case "pause":
		network.pause(name)
	case "resume":
		network.resumeByName(name)
	case "kill":
		network.kill(name)
	case "replace":
		network.start(name)
	case "handover":
		service := network.vms[name].service
		network.group.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, testTimeout)
			defer cancel()
			_ = service.Handover(ctx)
		})
	case "partition", "heal":
		network.partition(name, other, action.Kind == "partition")
	case "lose":
		network.loseAtRandom(action.Percent)
	case "deliver":
		network.stopLosingMessages()
	case "refuse", "accept", "break":
		network.backend.mutex.Lock()
		network.backend.refuse = action.Kind == "refuse"
		network.backend.loseOutcome = action.Kind == "break"
		network.backend.mutex.Unlock()
	case "platform down", "platform up", "platform loses":
		network.claims.mutex.Lock()
		network.claims.down = action.Kind == "platform down"
		if action.Kind == "platform loses" {
			network.claims.loseAnswers = action.Key
		}
		network.claims.mutex.Unlock()
	}
	time.Sleep(action.Wait)
}

// send sends a request under a key. Each request has its own body, so that the backend's counts show which one ran.
func (history *history) send(vm *fakeVM, key string) {
	history.mutex.Lock()
	number := len(history.answers)
	body := fmt.Sprintf("%s#%d", key, number)
	deadline := time.Now().Add(testTimeout)
	history.answers = append(history.answers, answer{key: key, body: body, deadline: deadline})
	history.mutex.Unlock()
	request := RunRequest{Key: key, Caller: "desk", Fingerprint: xxhash.Sum64String(key), Body: []byte(body)}
	history.network.group.Go(func(context.Context) {
		outcome := history.network.sendRequest(vm, request, testTimeout)
		history.mutex.Lock()
		defer history.mutex.Unlock()
		history.answers[number].outcome = outcome
		history.answers[number].answeredAt = time.Now()
	})
}

// violations returns the violations of the package's guarantees in the history.
func (history *history) violations() []string {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	backend := &history.network.backend
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	var violations []string
	ranByKey := make(map[string]int)
	for body, count := range backend.runs {
		key, _, _ := strings.Cut(body, "#")
		ranByKey[key] += count
		if ranByKey[key] > 1 {
			violations = append(violations, fmt.Sprintf("key %s ran %d times", key, ranByKey[key]))
		}
	}
	for _, answer := range history.answers {
		ran := backend.runs[answer.body] > 0
		if ran && answer.outcome.Ran == swcode.RanNo {
			violations = append(violations, fmt.Sprintf("%s ran and was answered %v", answer.body, answer.outcome))
		}
		if ran && backend.startedAt[answer.body].After(answer.deadline) {
			violations = append(violations, fmt.Sprintf("%s began after its deadline", answer.body))
		}
		if ran && answer.saysWillNotRun() && backend.startedAt[answer.body].After(answer.answeredAt) {
			violations = append(violations, fmt.Sprintf("%s began after it was answered %v", answer.body, answer.outcome))
		}
		if answer.outcome.Ran == swcode.RanYes && ranByKey[answer.key] == 0 {
			violations = append(violations, fmt.Sprintf("%s was answered %v and did not run", answer.body, answer.outcome))
		}
	}
	return violations
}

func (network *fakeNetwork) loseAtRandom(percent int) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	lose := func(salt string) func(int) bool {
		return func(number int) bool {
			return xxhash.Sum64String(fmt.Sprint(salt, number))%100 < uint64(percent)
		}
	}
	network.loseRequest = lose("request")
	network.loseAnswer = lose("answer")
}

// waitForAnswers resumes every VM and waits until every request is answered.
func (network *fakeNetwork) waitForAnswers() {
	for _, vm := range network.allVMs {
		network.resume(vm)
	}
	time.Sleep(time.Hour)
}

func TestRandomHistoriesRunEachKeyAtMostOnce(t *testing.T) {
	runs, messages := 0, 0
	rapid.Check(t, func(rapidT *rapid.T) {
		actions := rapid.SliceOfN(rapid.Custom(drawAction), 20, 120).Draw(rapidT, "actions")
		runTime := time.Duration(rapid.SampledFrom([]int{0, 50, 900}).Draw(rapidT, "takes")) * time.Millisecond
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			network := newFakeNetwork(t, vmNames...)
			network.backend.runTime = runTime
			history := &history{network: network, keys: []string{"invoice 1", "invoice 2"}}
			for _, action := range actions {
				history.apply(action)
			}
			network.waitForAnswers()
			violations = history.violations()
			network.mutex.Lock()
			defer network.mutex.Unlock()
			runs += len(network.backend.runs)
			messages += network.messages
		})
		if len(violations) > 0 {
			rapidT.Fatalf("guarantees violated:\n%s", strings.Join(violations, "\n"))
		}
	})
	if runs == 0 || messages == 0 {
		t.Error("the histories ran nothing or sent no messages between VMs")
	}
	t.Logf("%d runs, %d messages between VMs", runs, messages)
}

func TestAlteredKeysAreRefused(t *testing.T) {
	secret := newSecret()
	rapid.Check(t, func(t *rapid.T) {
		token := Token{
			Issuer:   Issuer{Name: rapid.StringN(1, 16, maxNameSize).Draw(t, "name"), Incarnation: rapid.Uint64().Draw(t, "incarnation")},
			Sequence: rapid.Uint64().Draw(t, "sequence"),
			Expires:  time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "expires")) * time.Millisecond,
		}
		key := token.Encode(secret)
		parsed, err := ParseToken(key)
		if err != nil || parsed != token || !verify(key, secret) {
			t.Fatalf("key %s of %v: parsed as %v, %v", key, token, parsed, err)
		}
		at := rapid.IntRange(0, len(key)-1).Draw(t, "at")
		altered := key[:at] + rapid.StringN(0, 2, 4).Draw(t, "text") + key[at+1:]
		if altered != key && verify(altered, secret) {
			t.Fatalf("altered key %q of %q passed", altered, key)
		}
	})
}

func TestParseTokenAcceptsOnlyValidTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.String(), rapid.StringMatching(`swk1-[A-Za-z0-9_-]{0,80}`)).Draw(t, "text")
		token, err := ParseToken(text)
		if err == nil && (token.Issuer.Name == "" || len(token.Issuer.Name) > maxNameSize || token.Expires < 0) {
			t.Fatalf("%q was parsed as %v", text, token)
		}
	})
}
