package coordinator_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"

	"switchfork/internal/cluster/coordinator"
	"switchfork/internal/fakes"
	"switchfork/internal/faulttest"
)

// Most of what several deciders do together is played by the nights of rehearsal/trial: the lead that stands still or leaves, one
// that is cut off, members that come and go, ways that lose, double and delay. Here is what an operator sees while they do.

const asked = `agents 3
appliances 4 slots=8 work=5ms
talk tcp
decider lease=600ms
0s load 20
0s wait leads = 1 within 20s
+0s name lead lead within 5s
+0s check asked
+0s term agent:lead
+0s wait alive of=agent:lead = 0 within 12s
+0s check folder
+0s load 0
expect settled >= 0.9 of=others:lead
`

// A running agent tells who leads, its figures and, once it has ended, its folder can be relied on. Where agents have no folders
// members do not change.
func TestAskedWhileTheyRun(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	program, err := fakes.BuildAgent(dir, "switchfork", "-race")
	if err != nil {
		t.Fatal(err)
	}
	how := faulttest.Playing{Programs: map[string]string{"": program}, Keep: dir, Checks: map[string]func(faulttest.Seats) error{
		"asked": func(s faulttest.Seats) error {
			lead := s.Names["lead"]
			out, err := exec.Command(s.Program, "lead", "--admin", s.Admin[lead]).CombinedOutput()
			if err != nil || !bytes.Contains(out, []byte("leads, term")) {
				return fmt.Errorf("switchfork lead says %s, %v", out, err)
			}
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "unix", s.Admin[lead])
			}}}
			res, err := client.Get("http://agent/metrics")
			if err != nil {
				return err
			}
			defer res.Body.Close()
			if text, err := io.ReadAll(res.Body); err != nil || !bytes.Contains(text, []byte("switchfork_decider_terms_total 1")) {
				return fmt.Errorf("metrics are %s, %v", text, err)
			}
			return nil
		},
		"folder": func(s faulttest.Seats) error {
			if out, err := exec.Command(s.Program, "state", "verify", s.State[s.Names["lead"]]).CombinedOutput(); err != nil {
				return fmt.Errorf("state verify says %s, %v", out, err)
			}
			return nil
		},
		"refused": func(s faulttest.Seats) error {
			lead := s.Names["lead"]
			if err := coordinator.RequestMemberChange(s.Admin[lead], "remove", (lead+1)%3); err == nil || !strings.Contains(err.Error(), "state folder") {
				return fmt.Errorf("a change of members without disks: %v", err)
			}
			if r, err := coordinator.QueryStatus(s.Admin[lead]); err != nil || len(r.Members) != 3 {
				return fmt.Errorf("after it was refused: %+v, %v", r, err)
			}
			return nil
		},
		"abstains": func(s faulttest.Seats) error {
			if r, err := coordinator.QueryStatus(s.Admin[s.Names["lead"]]); err != nil || r.AbstainsMS <= 0 {
				return fmt.Errorf("who started again without a memory stands as %+v, %v", r, err)
			}
			return nil
		},
	}}
	for name, text := range map[string]string{"asked": asked, "no-disks": strings.Replace(strings.Replace(strings.Replace(strings.Replace(asked,
		"talk tcp", "talk datagrams", 1), "lease=600ms", "lease=600ms no-folders", 1), "check asked", "check refused", 1), "check folder", "start agent:lead\n+0s check abstains", 1)} {
		t.Run(name, func(t *testing.T) {
			n, err := faulttest.ParseNight(name, text)
			if err == nil {
				err = n.Playable(how)
			}
			if err != nil {
				t.Fatal(err)
			}
			if v := faulttest.Play(t.Context(), n, how); !v.Passed {
				log, err := os.ReadFile(v.Folder + "/timeline.txt")
				t.Error(errors.Join(errors.New(strings.Join(v.Failures(), "\n")), err), string(log))
			}
		})
	}
}
