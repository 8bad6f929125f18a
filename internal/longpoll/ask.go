package longpoll

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/inflow"
	"vetchwood/internal/lrs"
	"vetchwood/internal/nets"
	"vetchwood/internal/tables"
)

var (
	ofProxies = []byte("/v1/proxies/")
	tablesEnd = []byte("/tables")
	reportEnd = []byte("/reports")
)

// ask hands a request to the core.
func (s *Server) ask(p *peer, r *request) *problem {
	path, query, _ := bytes.Cut(r.Target, []byte("?"))
	if rest, is := bytes.CutPrefix(path, ofProxies); is {
		if name, is := bytes.CutSuffix(rest, tablesEnd); is {
			return s.named(p, r, name, query, http.MethodGet, s.poll)
		}
		if name, is := bytes.CutSuffix(rest, reportEnd); is {
			return s.named(p, r, name, query, http.MethodPost, s.report)
		}
	}
	switch string(path) {
	case "/v1/tables":
		return s.only(r, http.MethodGet, func() *problem { return s.look(p, r) })
	case "/v1/peers/facts":
		return s.only(r, http.MethodGet, func() *problem {
			if wait := s.core.Admit(inflow.Peers, ""); wait > 0 {
				return later(wait)
			}
			s.post(p, s.core.Ticket(), func(t control.Ticket) any { return control.FactsQuery{Ticket: t} })
			return nil
		})
	}
	return bad(http.StatusNotFound, "there is /v1/proxies/{proxy}/tables, /v1/proxies/{proxy}/reports and /v1/tables")
}

// post asks the core something that is no proxy's poll.
func (s *Server) post(p *peer, t control.Ticket, in func(control.Ticket) any) {
	p.ticket, p.poll, p.proxy = t, false, ""
	s.asked.Store(t, p)
	s.core.Post(in(t))
}

func (s *Server) only(r *request, method string, do func() *problem) *problem {
	if string(r.Method) != method {
		wrong := bad(http.StatusMethodNotAllowed, "%s alone is taken here", method)
		wrong.allow = method
		return wrong
	}
	return do()
}

// named does what is asked of a proxy by its name.
func (s *Server) named(p *peer, r *request, name, query []byte, method string, do func(*peer, *request, string, []byte) *problem) *problem {
	proxy := string(name)
	if bytes.IndexByte(name, '%') >= 0 {
		plain, err := url.PathUnescape(proxy)
		if err != nil {
			return bad(http.StatusBadRequest, "the path %.60q can't be read", r.Target)
		}
		proxy = plain
	} else if proxy == "" || bytes.IndexByte(name, '/') >= 0 {
		return bad(http.StatusNotFound, "there is /v1/proxies/{proxy}/tables, /v1/proxies/{proxy}/reports and /v1/tables")
	}
	if len(proxy) > 128 {
		return bad(http.StatusNotFound, "a proxy's name has at most 128 bytes")
	}
	return s.only(r, method, func() *problem { return do(p, r, proxy, query) })
}

// poll hands on a proxy's poll, and answers it where that is possible at once.
func (s *Server) poll(p *peer, r *request, proxy string, query []byte) (wrong *problem) {
	q := control.Poll{Ticket: s.core.Ticket(), Origin: p, Proxy: proxy, WantsDelta: takes(r.value("a-im"))}
	if q.Held, p.any, wrong = entityTags(r.value("if-none-match")); wrong != nil {
		return wrong
	}
	q.Wait, p.prefer = preferredWait(r.value("prefer"))
	q.Wait = min(q.Wait, s.limits.Load().LongestWait)
	if zone, only := bytes.CutPrefix(query, []byte("zone=")); only && bytes.IndexAny(zone, "&%+;") < 0 {
		q.Zone = string(zone)
	} else if len(query) > 0 {
		hints, err := url.ParseQuery(string(query))
		if err != nil {
			return bad(http.StatusBadRequest, "the query can't be read: %v", err)
		}
		q.Zone = hints.Get("zone")
		if text := hints.Get("rate"); text != "" {
			rate, err := strconv.ParseFloat(text, 64)
			if err != nil || math.IsNaN(rate) || rate < 0 || rate > 1e9 {
				return bad(http.StatusBadRequest, "rate: %.40q is no number of calls a second", text)
			}
			q.Rate = rate
		}
	}
	// Before the poll is handed on: another core may answer it at once, and waits for this peer's lock.
	p.waits, p.ticket, p.poll, p.proxy = q.Wait, q.Ticket, true, proxy
	switch a, answered, wait := s.core.Poll(q); {
	case wait > 0:
		p.ticket = 0
		return later(wait)
	case answered:
		s.tell(p, a)
	}
	return nil
}

// report hands on a proxy's sums.
func (s *Server) report(p *peer, r *request, proxy string, _ []byte) *problem {
	if !isJSON(r) {
		return bad(http.StatusUnsupportedMediaType, "a report is JSON")
	}
	q, err := lrs.Decode(r.body)
	if err != nil {
		return bad(http.StatusBadRequest, "%v", err)
	}
	if q.Proxy != "" && q.Proxy != proxy {
		return bad(http.StatusBadRequest, "load stats: node.id: %.60q is not the proxy of the path", q.Proxy)
	}
	if !s.budget.HasHeapRoom() {
		return later(5 * time.Second)
	}
	if wait := s.core.Admit(inflow.Reports, proxy); wait > 0 {
		return later(wait)
	}
	q.Proxy, q.Key = proxy, string(r.Get("idempotency-key"))
	s.post(p, s.core.Ticket(), func(t control.Ticket) any { q.Ticket = t; return q })
	return nil
}

// look hands on the poll of one that looks on.
func (s *Server) look(p *peer, r *request) (wrong *problem) {
	if !s.budget.HasHeapRoom() {
		return later(5 * time.Second)
	}
	if wait := s.core.Admit(inflow.Looks, ""); wait > 0 {
		return later(wait)
	}
	q := control.Watch{Ticket: s.core.Ticket(), WantsDelta: takes(r.value("a-im"))}
	if q.Held, p.any, wrong = entityTags(r.value("if-none-match")); wrong != nil {
		return wrong
	}
	q.Wait, p.prefer = preferredWait(r.value("prefer"))
	q.Wait = min(q.Wait, s.limits.Load().LongestWait)
	p.waits, p.ticket, p.poll, p.proxy = q.Wait, q.Ticket, true, ""
	s.asked.Store(q.Ticket, p)
	s.core.Post(q)
	return nil
}

// Answer carries the core's answers out, each beside the core's own loop: a client that reads slowly holds up
// nobody else.
func (s *Server) Answer(a control.Answer) {
	p, polled := a.Origin.(*peer)
	if !polled {
		v, waits := s.asked.LoadAndDelete(a.Ticket)
		if !waits {
			a.WriteFinished()
			return
		}
		p = v.(*peer)
	}
	nets.Go(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.ticket != a.Ticket {
			a.WriteFinished()
			return
		}
		s.tell(p, a)
		s.turn(p)
	})
}

// tell writes an answer. The peer's lock is held.
func (s *Server) tell(p *peer, a control.Answer) {
	if a.Tracker != nil {
		p.sent = append(p.sent, a.Tracker)
	}
	tag, base := "", ""
	if a.Doc != nil {
		tag = a.Doc.ETag()
	}
	if a.Base != nil {
		base = a.Base.ETag()
	}
	p.ticket = 0
	kind := a.Kind
	if kind == control.Full && p.any || kind == control.Replaced {
		kind = control.Unchanged
	}
	var h *head
	switch kind {
	case control.Unknown:
		s.refuseAsked(p, bad(http.StatusNotFound, "%s", a.Reason))
	case control.Invalid:
		s.refuseAsked(p, bad(http.StatusBadRequest, "%s", a.Reason))
	case control.Busy:
		s.refuseAsked(p, bad(http.StatusServiceUnavailable, "%s", a.Reason))
	case control.FactsReply:
		body, err := json.Marshal(a.Body)
		if err != nil {
			s.refuseAsked(p, bad(http.StatusInternalServerError, "%v", err))
			break
		}
		h := newHead(http.StatusOK, p.closes)
		h.set("Cache-Control", "no-store")
		h.end("application/json", len(body))
		s.write(p, h, body, p.closes)
	case control.Accepted:
		h := newHead(http.StatusNoContent, p.closes)
		h.end("", 0)
		s.write(p, h, nil, p.closes)
	case control.Unchanged:
		h = newHead(http.StatusNotModified, p.closes)
	case control.Full:
		h = newHead(http.StatusOK, p.closes)
	case control.Delta:
		h = newHead(http.StatusIMUsed, p.closes)
		h.set("IM", manipulation)
		h.set("Delta-Base", base)
	}
	if h != nil {
		if tag != "" {
			h.set("ETag", tag)
		}
		h.set("Cache-Control", "no-store")
		if a.Lease > 0 {
			h.number(LeaseHeader, int(a.Lease))
		}
		if p.prefer {
			h.set("Preference-Applied", "wait="+strconv.Itoa(int(p.waits/1000)))
		}
		var body []byte
		switch kind {
		case control.Full:
			body = a.Doc.Whole()
			h.end(tables.MediaType, len(body))
		case control.Delta:
			body = a.Patch
			h.end(tables.PatchType, len(body))
		default:
			h.end("", 0)
		}
		s.write(p, h, body, p.closes)
	}
}
