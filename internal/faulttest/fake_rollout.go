package faulttest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// recommendationNames maps the protocol's names for votes to the recommendations of records.json.
var recommendationNames = map[string]string{
	"approve": recommendAdvance, "reject": recommendRollback, "wait": recommendHold, "clear": recommendNone,
}

// initialStageAge is the time between the release of the first build and the start of the run.
const initialStageAge = 90 * time.Second

// fakeRollout is a fake rollout controller. It sends the rollout state to agents and receives their votes.
type fakeRollout struct {
	broadcaster
	listener *countingListener
	server   *http.Server
	stagesMu sync.Mutex
	stages   []Stage // by version
	votes    []Vote
	silent   bool // votes are recorded but not answered
}

func newFakeRollout(ctx context.Context, now netfault.Clock, build int) (*fakeRollout, error) {
	l, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	released := Stage{Build: build, Stage: 2, Phase: phaseLive, Cap: uncapped, At: now() - initialStageAge.Microseconds()}
	f := &fakeRollout{broadcaster: newBroadcaster(now), listener: l, stages: []Stage{released}}
	f.server = serveHTTP(l, f.handle)
	return f, nil
}

func (f *fakeRollout) newestStage() (version int, stage Stage) {
	f.stagesMu.Lock()
	defer f.stagesMu.Unlock()
	version = len(f.stages) - 1
	return version, f.stages[version]
}

func (f *fakeRollout) stage(version int) Stage {
	f.stagesMu.Lock()
	defer f.stagesMu.Unlock()
	return f.stages[version]
}

func (f *fakeRollout) snapshotStages() []Stage {
	f.stagesMu.Lock()
	defer f.stagesMu.Unlock()
	return slices.Clone(f.stages)
}

func (f *fakeRollout) snapshotVotes() []Vote {
	f.stagesMu.Lock()
	defer f.stagesMu.Unlock()
	return append([]Vote(nil), f.votes...)
}

func (f *fakeRollout) ageMS(s Stage) netfault.Micros { return (f.now() - s.At) / 1000 }

// eventText returns a version of the state as an event of the update stream. The text is the same for every agent.
func (f *fakeRollout) eventText(_, version int) string {
	s := f.stage(version)
	return fmt.Sprintf("event: ROLLOUT\ndata: image=%d&ring=%d&progress=%s&ceiling=%g&lag_ms=%d\n\n", s.Build, s.Stage, s.Phase, s.Cap, f.ageMS(s))
}

// stateJSON returns the newest state in the form that an agent's configuration holds.
func (f *fakeRollout) stateJSON() (version int, text string) {
	version, s := f.newestStage()
	return version, fakes.RolloutJSON(s.Build, s.Stage, s.Phase, s.Cap, time.Duration(f.now()-s.At)*time.Microsecond)
}

// update creates a new version of the state and publishes it.
func (f *fakeRollout) update(s Stage) {
	f.stagesMu.Lock()
	s.At = f.now()
	f.stages = append(f.stages, s)
	version := len(f.stages) - 1
	f.stagesMu.Unlock()
	f.publish(version)
}

func (f *fakeRollout) setSilent(silent bool) {
	f.stagesMu.Lock()
	defer f.stagesMu.Unlock()
	f.silent = silent
}

// recordVote records a vote and reports whether it gets an answer.
func (f *fakeRollout) recordVote(v Vote) (answers bool) {
	f.stagesMu.Lock()
	defer f.stagesMu.Unlock()
	f.votes = append(f.votes, v)
	return !f.silent
}

func (f *fakeRollout) handle(w http.ResponseWriter, r *http.Request) {
	conn := countedConnOf(r)
	version, newest := f.newestStage()
	if r.Method == http.MethodGet {
		f.recordCall(conn.agent, "bulletin")
		w.Header().Set("Content-Type", "text/event-stream")
		f.serve(w, r, version, feed{text: f.eventText, keepAlive: ":\n"})
		return
	}
	vote, isValid := f.readVote(r, conn.agent)
	if !isValid {
		writeError(w, "ValidationError")
		return
	}
	f.recordCall(conn.agent, "vote")
	if !f.recordVote(vote) {
		<-r.Context().Done()
		return
	}
	if vote.Build != newest.Build || vote.Stage != newest.Stage {
		writeError(w, "ConditionFailed")
		return
	}
	// A write error is ignored: if the agent does not get the answer, its next request shows that.
	_, _ = fmt.Fprintf(w, `<?xml version="1.0"?>
<Response><groups><item><image>%d</image><ring>%d</ring><progress>%s</progress><ceiling>%g</ceiling><lag_ms>%d</lag_ms></item></groups></Response>`,
		newest.Build, newest.Stage, newest.Phase, newest.Cap, f.ageMS(newest))
}

func (f *fakeRollout) readVote(r *http.Request, agent int) (v Vote, isValid bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return v, false
	}
	form, err := url.ParseQuery(string(body))
	if err != nil {
		return v, false
	}
	recommendation, isKnown := recommendationNames[form.Get("opinion")]
	v = Vote{At: f.now(), Agent: agent, Recommendation: recommendation}
	v.Build, _ = strconv.Atoi(form.Get("image")) // a malformed number gives 0, which no build has, so the vote is answered with ConditionFailed
	v.Stage, _ = strconv.Atoi(form.Get("ring"))
	return v, isKnown
}

func writeError(w http.ResponseWriter, code string) {
	w.WriteHeader(http.StatusBadRequest)
	_, _ = fmt.Fprintf(w, "<Error><Code>%s</Code></Error>", code) // a client that has disconnected needs no answer
}
