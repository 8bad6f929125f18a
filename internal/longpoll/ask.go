package longpoll

import (
	"encoding/json"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"vetchwood/internal/control"
	"vetchwood/internal/inflow"
	"vetchwood/internal/lrs"
	"vetchwood/internal/nets"
	"vetchwood/internal/tables"
)

// ask hands a request to the core.
func (s *Server) ask(p *peer, r *request) *problem {
	path, query, _ := strings.Cut(string(r.Target), "?")
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, part := range parts {
		plain, err := url.PathUnescape(part)
		if err != nil {
			return bad(http.StatusBadRequest, "the path %.60q can't be read", path)
		}
		parts[i] = plain
	}
	if len(parts) == 3 && parts[0] == "v1" && parts[1] == "peers" && parts[2] == "facts" {
		if string(r.Method) != http.MethodGet {
			wrong := bad(http.StatusMethodNotAllowed, "GET alone is taken here")
			wrong.allow = http.MethodGet
			return wrong
		}
		if wait := s.core.Admit(inflow.Peers, ""); wait > 0 {
			return later(wait)
		}
		ticket := s.core.Ticket()
		p.ticket, p.poll, p.proxy = ticket, false, ""
		s.asked.Store(ticket, p)
		s.core.Post(control.Facts{Ticket: ticket})
		return nil
	}
	if len(parts) == 2 && parts[0] == "v1" && parts[1] == "tables" {
		return s.look(p, r)
	}
	if len(parts) != 4 || parts[0] != "v1" || parts[1] != "proxies" || parts[2] == "" ||
		parts[3] != "tables" && parts[3] != "reports" {
		return bad(http.StatusNotFound, "there is /v1/proxies/{proxy}/tables, /v1/proxies/{proxy}/reports and /v1/tables")
	}
	proxy, tablesWanted := parts[2], parts[3] == "tables"
	if len(proxy) > 128 {
		return bad(http.StatusNotFound, "a proxy's name has at most 128 bytes")
	}
	if allow := map[bool]string{true: http.MethodGet, false: http.MethodPost}[tablesWanted]; string(r.Method) != allow {
		wrong := bad(http.StatusMethodNotAllowed, "%s alone is taken here", allow)
		wrong.allow = allow
		return wrong
	}
	if tablesWanted {
		return s.poll(p, r, proxy, query)
	}
	return s.report(p, r, proxy)
}

// poll hands on a proxy's poll, and answers it where that is possible at once.
func (s *Server) poll(p *peer, r *request, proxy, query string) (wrong *problem) {
	q := control.Poll{Ticket: s.core.Ticket(), From: p, Proxy: proxy, WantsDelta: takes(r.values("a-im"))}
	if q.Held, p.any, wrong = entityTags(r.values("if-none-match")); wrong != nil {
		return wrong
	}
	q.Wait, p.prefer = preferredWait(r.values("prefer"))
	q.Wait = min(q.Wait, s.limits.LongestWait)
	if query != "" {
		hints, err := url.ParseQuery(query)
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
func (s *Server) report(p *peer, r *request, proxy string) *problem {
	if !isJSON(r) {
		return bad(http.StatusUnsupportedMediaType, "a report is JSON")
	}
	q, err := lrs.Read(r.body)
	if err != nil {
		return bad(http.StatusBadRequest, "%v", err)
	}
	if q.Proxy != "" && q.Proxy != proxy {
		return bad(http.StatusBadRequest, "load stats: node.id: %.60q is not the proxy of the path", q.Proxy)
	}
	if wait := s.core.Admit(inflow.Reports, proxy); wait > 0 {
		return later(wait)
	}
	q.Ticket, q.Proxy, q.Key = s.core.Ticket(), proxy, string(r.Get("idempotency-key"))
	p.ticket, p.poll, p.proxy = q.Ticket, false, ""
	s.asked.Store(q.Ticket, p)
	s.core.Post(q)
	return nil
}

// look hands on the poll of one that looks on.
func (s *Server) look(p *peer, r *request) (wrong *problem) {
	if string(r.Method) != http.MethodGet {
		wrong = bad(http.StatusMethodNotAllowed, "GET alone is taken here")
		wrong.allow = http.MethodGet
		return wrong
	}
	if wait := s.core.Admit(inflow.Looks, ""); wait > 0 {
		return later(wait)
	}
	q := control.Watch{Ticket: s.core.Ticket(), WantsDelta: takes(r.values("a-im"))}
	if q.Held, p.any, wrong = entityTags(r.values("if-none-match")); wrong != nil {
		return wrong
	}
	q.Wait, p.prefer = preferredWait(r.values("prefer"))
	q.Wait = min(q.Wait, s.limits.LongestWait)
	p.waits, p.ticket, p.poll, p.proxy = q.Wait, q.Ticket, true, ""
	s.asked.Store(q.Ticket, p)
	s.core.Post(q)
	return nil
}

// Answer carries the core's answers out, each beside the core's own loop: a client that reads slowly holds up
// nobody else.
func (s *Server) Answer(a control.Answer) {
	p, polled := a.To.(*peer)
	if !polled {
		v, waits := s.asked.LoadAndDelete(a.Ticket)
		if !waits {
			a.Land()
			return
		}
		p = v.(*peer)
	}
	nets.Go(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.ticket != a.Ticket {
			a.Land()
			return
		}
		s.tell(p, a)
		s.turn(p)
	})
}

// tell writes an answer. The peer's lock is held.
func (s *Server) tell(p *peer, a control.Answer) {
	if a.Flight != nil {
		p.sent = append(p.sent, a.Flight)
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
	if kind == control.Whole && p.any || kind == control.Replaced {
		kind = control.Unchanged
	}
	var h *head
	switch kind {
	case control.Unknown:
		s.refuse(p, bad(http.StatusNotFound, "%s", a.Why))
	case control.Wrong:
		s.refuse(p, bad(http.StatusBadRequest, "%s", a.Why))
	case control.Busy:
		s.refuse(p, bad(http.StatusServiceUnavailable, "%s", a.Why))
	case control.Told:
		body, err := json.Marshal(a.Body)
		if err != nil {
			s.refuse(p, bad(http.StatusInternalServerError, "%v", err))
			break
		}
		h := newHead(http.StatusOK, p.closes)
		h.set("Cache-Control", "no-store")
		s.write(p, h.end("application/json", len(body)), body, p.closes)
	case control.Taken:
		s.write(p, newHead(http.StatusNoContent, p.closes).end("", 0), nil, p.closes)
	case control.Unchanged:
		h = newHead(http.StatusNotModified, p.closes)
	case control.Whole:
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
			h.set(LeaseHeader, strconv.Itoa(int(a.Lease)))
		}
		if p.prefer {
			h.set("Preference-Applied", "wait="+strconv.Itoa(int(p.waits/1000)))
		}
		switch kind {
		case control.Unchanged:
			s.write(p, h.end("", 0), nil, p.closes)
		case control.Whole:
			body := a.Doc.Whole()
			s.write(p, h.end(tables.MediaType, len(body)), body, p.closes)
		case control.Delta:
			s.write(p, h.end(tables.PatchType, len(a.Patch)), a.Patch, p.closes)
		}
	}
}
