package agent

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"switchfork/internal/policy"
)

// This file owns the forms of the users' protocol: each message is decoded here once into a small typed value,
// or encoded here once. It must never open a connection, keep anything or look at a clock.

const BodyLimit = 64 << 10 // the protocol's

var ErrBodyTooLong = errors.New("body is over 64 KiB")

// EncodedRequest is a txn on its way to appliances, encoded but for the time that remains.
type EncodedRequest struct{ Head, Body []byte }

// EncodeRequest encodes a client's request; target is its path and query as they came.
func EncodeRequest(method, target, host string, header http.Header, body []byte) *EncodedRequest {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", method, target, host, len(body))
	header.Write(&b)
	return &EncodedRequest{b.Bytes(), body}
}

// Bytes is the whole request, with the time that the agent will wait.
func (p *EncodedRequest) Bytes(wait time.Duration) []byte {
	out := make([]byte, 0, len(p.Head)+len(p.Body)+32)
	out = append(out, p.Head...)
	out = append(out, "X-Deadline-Ms: "...)
	out = strconv.AppendInt(out, max(1, wait.Milliseconds()), 10)
	out = append(out, "\r\n\r\n"...)
	return append(out, p.Body...)
}

// HopHeaders are written by pack and bytes, or make no sense on an appliance's connection.
var HopHeaders = []string{"X-Deadline-Ms", "Content-Length", "Transfer-Encoding", "Host", "Connection", "Expect"}

// singleHeaders are the headers of which a second would leave open which one an appliance goes by.
var singleHeaders = []string{"X-Request-Id", "X-Class", "X-Deadline-Ms", "Idempotency-Key"}

// order is what a client's request says.
type order struct {
	product, customer int
	key               uint64
	mark              uint64 // what its next try will carry too: its reference, or else its key
	wait              time.Duration
	work              policy.Micros
	repeat            bool
}

// counter reads clients' requests by the names that were told at the start.
type counter struct {
	names     []string
	effects   []policy.Idempotency
	expiry    []time.Duration
	customers []string
}

// fault is a request that is answered without the module.
type fault struct {
	status int
	why    string
}

func (f *fault) Error() string { return f.why }

// read decodes a request; a nil order comes with a fault.
func (c *counter) read(r *http.Request, target string) (*order, *fault) {
	bad := func(status int, format string, with ...any) (*order, *fault) {
		return nil, &fault{status, fmt.Sprintf(format, with...)}
	}
	path, query, _ := strings.Cut(target, "?")
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	for _, h := range singleHeaders {
		if len(r.Header[h]) > 1 {
			return bad(http.StatusBadRequest, "more than one %s", h)
		}
	}
	o := &order{product: slices.Index(c.names, first)}
	if plain, err := url.PathUnescape(first); o.product < 0 && err == nil { // a name may hold what a path writes with percent signs
		first, o.product = plain, slices.Index(c.names, plain)
	}
	if o.product < 0 {
		return bad(http.StatusNotFound, "no product %.40q", first)
	}
	if class := r.Header.Get("X-Class"); class != "" && class != first {
		return bad(http.StatusBadRequest, "X-Class is %.40q under the path of %s", class, first)
	}
	inquiry := c.effects[o.product] == policy.Idempotent
	if inquiry != (r.Method == http.MethodGet) || !inquiry && r.Method != http.MethodPost {
		return bad(http.StatusMethodNotAllowed, "%.20q is not the method of %s", r.Method, first)
	}
	if c.effects[o.product] == policy.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return bad(http.StatusBadRequest, "no Idempotency-Key")
	}
	if r.Header.Get("X-Request-Id") == "" {
		return bad(http.StatusBadRequest, "no X-Request-Id")
	}
	wait := r.Header.Get("X-Deadline-Ms")
	if o.wait = c.expiry[o.product]; wait != "" {
		ms, err := strconv.ParseInt(wait, 10, 64)
		if err != nil || ms > math.MaxInt32 {
			return bad(http.StatusBadRequest, "X-Deadline-Ms is %.20q", wait)
		}
		o.wait = time.Duration(ms) * time.Millisecond
	}
	if o.wait <= 0 {
		return bad(http.StatusGatewayTimeout, "its time is over")
	}
	// A customer that was not told shares one number with all others of that sort.
	if o.customer = slices.Index(c.customers, r.Header.Get("X-Tenant")); o.customer < 0 {
		o.customer = len(c.customers)
	}
	if o.key = keyOf(query); inquiry {
		o.mark = o.key
	} else if ref := r.Header.Get("Idempotency-Key"); ref != "" {
		o.mark = Hash64(ref)
	}
	if us, err := strconv.ParseFloat(r.Header.Get("X-Cost-Hint"), 64); err == nil && us > 0 && us < 1e9 {
		o.work = policy.Micros(us)
	}
	o.repeat = r.Header.Get("X-Retry") == "1"
	return o, nil
}

// keyOf is the 64 bits of sid, or a hash of what else it holds; 0 where there is none.
func keyOf(query string) uint64 {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		sid, ok := strings.CutPrefix(pair, "sid=")
		if !ok || sid == "" {
			continue
		}
		if v, err := strconv.ParseUint(sid, 16, 64); err == nil && len(sid) == 16 && v != 0 {
			return v
		}
		return Hash64(sid)
	}
	return 0
}

func Hash64(s string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, s)
	return h.Sum64()
}

// ReadBody takes a body whole, or says that it is too long.
func ReadBody(r io.Reader, length int64) ([]byte, error) {
	if r == nil || length == 0 {
		return nil, nil
	}
	if length > BodyLimit {
		return nil, ErrBodyTooLong
	}
	body, err := io.ReadAll(io.LimitReader(r, BodyLimit+1))
	if err == nil && len(body) > BodyLimit {
		err = ErrBodyTooLong
	}
	return body, err
}

// Response is an appliance's, whole.
type Response struct {
	Result      Result
	Status      int
	ContentType string // its Content-Type
	Body        []byte
	Load        []float32
	IsLast      bool // the connection ends with it
}

// responseReader reads the answers of one connection. Nothing an appliance sends takes more memory or time than an answer may.
type responseReader struct {
	conn  net.Conn
	limit io.LimitedReader
	br    *bufio.Reader
	begun bool // an answer's first byte has come
}

// Read waits as long as the submission does for an answer's first byte, and answerWait for each further piece.
func (a *responseReader) Read(b []byte) (int, error) {
	if a.begun {
		a.conn.SetReadDeadline(time.Now().Add(answerWait))
	}
	return a.conn.Read(b)
}

// answerWait is the longest that a begun answer may pause: it is written in one piece, with no work between. It guards against heads
// and bodies that do not end and lengths that are too long, which would else be waited for until the txn's time is over. One that
// comes slowly, byte by byte, has its submission's time.
const answerWait = 300 * time.Millisecond

var errNoEnd = errors.New("nothing but the connection's end says that the answer is whole")

func newResponseReader(conn net.Conn) *responseReader {
	a := &responseReader{conn: conn}
	a.limit.R = a
	a.br = bufio.NewReaderSize(&a.limit, 4<<10)
	return a
}

// next takes one answer, with the words in between that may come ahead of it. If more stands behind it, it is the
// connection's last.
func (a *responseReader) next(fields []string) (*Response, error) {
	a.limit.N = HeadLimit + BodyLimit
	for {
		_, err := a.br.Peek(1)
		if err != nil {
			return nil, a.over(err)
		}
		a.begun = true
		ans, err := readAnswer(a.br, fields)
		if err != nil {
			return nil, a.over(err)
		}
		a.begun = false
		a.conn.SetReadDeadline(time.Time{})
		if ans != nil {
			ans.IsLast = ans.IsLast || a.br.Buffered() > 0
			return ans, nil
		}
	}
}

// over tells an answer that is too long from the connection's end.
func (a *responseReader) over(err error) error {
	if a.limit.N <= 0 {
		return ErrBodyTooLong
	}
	return err
}

// readAnswer takes one answer off a connection; a word in between is none.
func readAnswer(from *bufio.Reader, fields []string) (*Response, error) {
	r, err := http.ReadResponse(from, nil)
	if err != nil {
		return nil, err
	}
	if r.StatusCode >= 100 && r.StatusCode < 200 {
		return nil, nil
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return nil, errNoEnd
	}
	a := &Response{Status: r.StatusCode, ContentType: r.Header.Get("Content-Type"), IsLast: r.Close}
	if a.Body, err = ReadBody(r.Body, r.ContentLength); err != nil {
		return nil, err
	}
	r.Body.Close()
	a.Result = ServerError
	switch {
	case r.StatusCode == http.StatusOK:
		a.Result = Succeeded
	case r.Header.Get("X-Not-Run") == "1" && (r.StatusCode == 503 || r.StatusCode == 504):
		a.Result = NotRun
	case r.StatusCode >= 400 && r.StatusCode < 500 && r.StatusCode != http.StatusTooManyRequests:
		a.Result = ClientError
	}
	a.Load = ParseLoadReport([]byte(r.Header.Get("X-Load")), fields)
	return a, nil
}

const maxLoadFigure = 1e9 // no queue, count or share of a machine comes near it

// ParseLoadReport reads a load report's fields in the told order; nil where it can't be read or one is missing.
func ParseLoadReport(raw []byte, fields []string) []float32 {
	var said map[string]float64
	if len(fields) == 0 || len(raw) == 0 {
		return nil
	}
	if err := json.Unmarshal(raw, &said); err != nil {
		complaints.Warn("report", "load report that can't be read", "err", err)
		return nil
	}
	out := make([]float32, len(fields))
	for i, f := range fields {
		v, ok := said[f]
		if !ok {
			complaints.Warn("report field", "load report without a field", "field", f, "report", fmt.Sprintf("%.80q", raw))
			return nil
		}
		if !(v >= 0 && v < maxLoadFigure) {
			complaints.Warn("report figure", "load report with a figure that can't be", "field", f, "figure", v)
			return nil
		}
		out[i] = float32(v)
	}
	return out
}

// List is a line of discovery: the whole list, or what changed.
type List struct {
	Seq   uint64      `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []ListEntry `json:"hosts"`
}

// ListEntry is one appliance there.
type ListEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
	Build  int     `json:"build"`
}

// ListReader puts a list back together that comes over several lines: lists may come indented. A line alone is whole when its brackets
// are; within a text no line ends.
type ListReader struct {
	raw   []byte
	depth int
}

var ErrListCutOff = errors.New("a list that ends in its middle")

// Add takes a line; whole is the list that it ends, or nil while more has to come. An empty line is a sign of life, which never comes
// within a list: what has begun will not be ended.
func (m *ListReader) Add(line []byte, most int) (whole []byte, err error) {
	if len(line) == 0 {
		return nil, m.End()
	}
	if len(m.raw) > 0 {
		if next, err := ReadList(line); err == nil && next.Seq > 0 {
			return nil, ErrListCutOff // a list of its own: the one before lacks its end
		}
	}
	text, escaped := false, false
	for _, c := range line {
		switch {
		case escaped:
			escaped = false
		case text && c == '\\':
			escaped = true
		case c == '"':
			text = !text
		case text:
		case c == '{' || c == '[':
			m.depth++
		case c == '}' || c == ']':
			m.depth--
		}
	}
	if len(m.raw)+len(line) > most {
		return nil, ErrBodyTooLong
	}
	if m.raw = append(m.raw, line...); m.depth > 0 && !text {
		return nil, nil
	}
	whole, *m = m.raw, ListReader{}
	return whole, nil
}

// End tells whether a list has been cut off.
func (m *ListReader) End() error {
	if len(m.raw) > 0 {
		return ErrListCutOff
	}
	return nil
}

func ReadList(raw []byte) (List, error) {
	var r List
	err := json.Unmarshal(raw, &r)
	return r, err
}

var endpointStates = map[string]policy.EndpointState{"active": policy.Ready, "leaving": policy.Draining, "left": policy.Gone}

// Endpoint is the entry as the module knows it, but for its number.
func (e ListEntry) Endpoint(zones []string) (policy.Endpoint, error) {
	state, known := endpointStates[e.Health]
	zone := slices.Index(zones, e.Site)
	switch {
	case e.Host == "":
		return policy.Endpoint{}, errors.New("an entry without host")
	case !known:
		return policy.Endpoint{}, fmt.Errorf("%.40q has health %.20q", e.Host, e.Health)
	case zone < 0 && len(zones) > 0 && state != policy.Gone:
		return policy.Endpoint{}, fmt.Errorf("%.40q is at site %.20q", e.Host, e.Site)
	case !(e.BornMs >= 0 && e.BornMs < 1e15):
		return policy.Endpoint{}, fmt.Errorf("%.40q has born_ms %v", e.Host, e.BornMs)
	}
	return policy.Endpoint{
		Build: e.Build, Zone: max(0, zone), State: state, Cell: e.Block,
		Started: policy.Micros(e.BornMs * 1000), Weight: e.Share,
	}, nil
}

// rolloutStatus is where the newest build stands, in any of the launcher's three forms.
type rolloutStatus struct {
	Image    int     `json:"image" xml:"image"`
	Ring     int     `json:"ring" xml:"ring"`
	Progress string  `json:"progress" xml:"progress"`
	Ceiling  float64 `json:"ceiling" xml:"ceiling"`
	LagMs    float64 `json:"lag_ms" xml:"lag_ms"`
}

var phases = map[string]policy.Phase{
	"testing": policy.Evaluating, "recalling": policy.RollingBack,
	"live": policy.Released, "recalled": policy.RolledBack,
}

func (n rolloutStatus) update() (policy.RolloutUpdate, error) {
	phase, known := phases[n.Progress]
	if !known || n.Image < 0 || n.Ring < 0 || !(n.Ceiling >= 0 && n.Ceiling <= 1) || !(n.LagMs >= 0 && n.LagMs < 1e12) {
		return policy.RolloutUpdate{}, fmt.Errorf("news that makes no sense: %+v", n)
	}
	return policy.RolloutUpdate{
		Build: n.Image, Stage: n.Ring, Phase: phase, Cap: n.Ceiling,
		Age: policy.Micros(n.LagMs * 1000),
	}, nil
}

func ReadRolloutJSON(raw []byte) (policy.RolloutUpdate, error) {
	var n rolloutStatus
	if err := json.Unmarshal(raw, &n); err != nil {
		return policy.RolloutUpdate{}, err
	}
	return n.update()
}

// ReadRolloutForm reads an event's data line.
func ReadRolloutForm(data string) (policy.RolloutUpdate, error) {
	v, err := url.ParseQuery(data)
	if err != nil {
		return policy.RolloutUpdate{}, err
	}
	n := rolloutStatus{Progress: v.Get("progress")}
	var errs [4]error
	n.Image, errs[0] = strconv.Atoi(v.Get("image"))
	n.Ring, errs[1] = strconv.Atoi(v.Get("ring"))
	n.Ceiling, errs[2] = strconv.ParseFloat(v.Get("ceiling"), 64)
	n.LagMs, errs[3] = strconv.ParseFloat(v.Get("lag_ms"), 64)
	if err = errors.Join(errs[:]...); err != nil {
		return policy.RolloutUpdate{}, err
	}
	return n.update()
}

var VerdictNames = []string{policy.NoVote: "clear", policy.Advance: "approve", policy.Hold: "wait", policy.RollBack: "reject"}

func EncodeVote(v policy.Vote) string {
	return fmt.Sprintf("Action=RecordOpinion&image=%d&ring=%d&opinion=%s", v.Build, v.Stage, VerdictNames[v.Verdict])
}

// ReadVoteReply tells how a vote ended and, if it counts, where the build stands.
func ReadVoteReply(status int, raw []byte) (Result, policy.RolloutUpdate) {
	var ok struct {
		News []rolloutStatus `xml:"groups>item"`
	}
	var no struct { // the error stands alone, or inside the answer
		Alone  string `xml:"Code"`
		Inside string `xml:"Error>Code"`
	}
	switch {
	case status == http.StatusOK:
		if xml.Unmarshal(raw, &ok) == nil && len(ok.News) == 1 {
			if s, err := ok.News[0].update(); err == nil {
				return Succeeded, s
			}
		}
	case status == http.StatusBadRequest && xml.Unmarshal(raw, &no) == nil:
		switch cmp.Or(no.Inside, no.Alone) {
		case "Throttling":
			return NotRun, policy.RolloutUpdate{}
		case "ConditionFailed":
			return Stale, policy.RolloutUpdate{}
		case "ValidationError":
			return ServerError, policy.RolloutUpdate{}
		}
	case status == http.StatusInternalServerError:
		return ServerError, policy.RolloutUpdate{}
	}
	return TimedOut, policy.RolloutUpdate{} // it may count
}
