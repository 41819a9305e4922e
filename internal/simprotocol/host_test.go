package simprotocol

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"

	"switchfork/internal/policy"
)

var settings = strings.ReplaceAll(`Me=0 Balancers=2 Zone=0 Grades.count=1 Grades.0.Repeat=read_like Grades.0.SloMs=100.0
Grades.0.HardLimitMs=400.0 Grades.0.Worth=1.0 FamilyInfo.StageCap=0.1,1.0
FamilyInfo.StageShare=0.1,1.0 FamilyInfo.Shielded=0 FamilyInfo.Swap=beside
FamilyInfo.VoteStandsMs=4000.0 FamilyInfo.CallTimeoutMs=800.0 FamilyInfo.ApiRate=50.0
FamilyInfo.VoteMode=any FamilyInfo.VotesToGo=1 FamilyInfo.NoesNeeded=1
FamilyInfo.CountedOverMs=4000.0 FamilyInfo.Allowance=2.0 FamilyInfo.CountedBy=all
Safety.ColdFrom=0.3 Safety.ColdMs=5000.0 Safety.TipMultiple=2.0 Safety.TipAfterMs=1500.0
Safety.DrainGraceMs=1000.0 Safety.GraceToAnswerMs=20.0 Limits.MaxAttempts=3 Discovery=automatic
A.Key.NotKnown=yes`, " ", "\n")

func encodeFrame(records ...func(*writer)) []byte {
	w := &writer{buf: make([]byte, 4)}
	w.u32(uint32(len(records)))
	w.micros(8256000)
	for _, writeRecord := range records {
		writeRecord(w)
	}
	byteOrder.PutUint32(w.buf, uint32(len(w.buf)))
	return w.buf
}

func startInstance(text string) func(*writer) {
	return func(w *writer) {
		w.record(0, 3, func() { w.u64(9); w.u32(uint32(len(text))); w.buf = append(w.buf, text...) })
	}
}

func rawRecord(s string) func(*writer) {
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		panic(err)
	}
	return func(w *writer) { w.buf = append(w.buf, b...) }
}

var (
	endpointList   = rawRecord("0d 1e000000 00 01000000 074a1203 00002442 00 01 00 0000 0000000000000000 0000803f")
	endpointUpdate = rawRecord("01 0c000000 0300 02 2900000000000000 00")
	requestArrived = rawRecord("02 29000000 0300 c4913a5d71660c00 0000 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840 01")
	stopInstance   = rawRecord("09 02000000 0300")
)

func serve(t *testing.T, frames ...[]byte) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := NewHost().Serve(bytes.NewReader(bytes.Join(frames, nil)), &out)
	return hex.EncodeToString(out.Bytes()), err
}

func TestServe(t *testing.T) {
	rolloutUpdate := rawRecord("0a 15000000 0300 2900 00 02 00 6400 0000803f 0000000000607340")
	start := startInstance(settings)
	batch := encodeFrame(endpointList, start, endpointUpdate, rolloutUpdate, requestArrived, stopInstance, start)
	got, err := serve(t, encodeFrame(), batch)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(got, "04000000") {
		t.Errorf("reply to an empty batch begins with %.8s, want 04000000", got)
	}
	if want := "0a160000000300c4913a5d71660c00"; !strings.Contains(got, want) {
		t.Errorf("got reply %s, want one that contains an attempt of the request", got)
	}
}

func TestServeRejectsMalformedInput(t *testing.T) {
	complete := encodeFrame(startInstance(settings))
	for name, test := range map[string]struct {
		in   []byte
		want string
	}{
		"cut short":       {complete[:len(complete)-5], "cut short"},
		"no body":         {complete[:4], "cut short"},
		"half a length":   {complete[:2], "batch header cut short"},
		"length":          {[]byte{3, 0, 0, 0}, "batch length 3"},
		"missing setting": {encodeFrame(startInstance(strings.Replace(settings, "Zone=0\n", "", 1))), "setting Zone is missing"},
		"not a number":    {encodeFrame(startInstance(strings.Replace(settings, "SloMs=100.0", "SloMs=soon", 1))), `"soon", not a number`},
		"unknown word":    {encodeFrame(startInstance(strings.Replace(settings, "=beside", "=above", 1))), `"above", a word not known`},
		"short record":    {encodeFrame(startInstance(settings), rawRecord("06 03000000 0300 4d")), "needs 8 more bytes"},
		"no such list":    {encodeFrame(startInstance(settings), endpointUpdate), "names list 0"},
		"not started":     {encodeFrame(rawRecord("06 0a000000 0300 4d00000000000000")), "instance 3 has not started"},
	} {
		_, err := serve(t, test.in)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got error %v, want one that contains %q", name, err, test.want)
		}
	}
}

type panickingRouter struct{}

func (panickingRouter) Handle(policy.Micros, policy.Event) []policy.Command {
	panic("index out of range")
}

func TestHandleEventReportsPanic(t *testing.T) {
	w := &writer{}
	handleEvent(panickingRouter{}, 0, policy.TimerFired{}, 3, w)
	if got, want := hex.EncodeToString(w.buf), "05160000000300"+"1200"+hex.EncodeToString([]byte("index out of range")); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
