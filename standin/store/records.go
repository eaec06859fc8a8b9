package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

type partition struct {
	// first is the offset of records[0].
	first   int64
	records [][]byte
	// newest holds the newest value of each key, at its offset, of a keyed
	// topic.
	newest map[string]keyed
}

type keyed struct {
	value  []byte
	offset int64
}

func (s *Store) partition(topic string, part int) *partition {
	name := topic + "/" + strconv.Itoa(part)
	p := s.parts[name]
	if p == nil {
		p = &partition{newest: map[string]keyed{}}
		s.parts[name] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

func (p *partition) append(record []byte) int64 {
	offset := p.end()
	p.records = append(p.records, record)
	if len(record) == 0 || 1+int(record[0]) > len(record) {
		return offset
	}
	key := string(record[1 : 1+int(record[0])])
	if value := record[1+int(record[0]):]; len(value) > 0 {
		p.newest[key] = keyed{value: value, offset: offset}
	} else {
		delete(p.newest, key)
	}
	return offset
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) error {
	topic, part, err := where(r)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return nil
	}
	offset := p.end()
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return errors.New("a record is cut")
		}
		p.append(slices.Clone(body[4 : 4+n]))
		body = body[4+n:]
	}
	return answer(w, map[string]int64{"offset": offset, "end": p.end()})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) error {
	topic, part, err := where(r)
	if err != nil {
		return err
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("From"), 10, 64)
	if err != nil {
		return err
	}
	wait := time.Duration(0)
	if text := r.URL.Query().Get("WaitMs"); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		wait = min(maxWait, time.Duration(ms)*time.Millisecond)
	}
	era := w.Header().Get("Store-Era")
	for until := s.now().Add(wait); ; time.Sleep(waitStep) {
		if s.busy() || s.isPast(era) {
			// A store that goes away does not answer the readings that it held.
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		data, gone := s.read(topic, part, from)
		if gone {
			w.WriteHeader(http.StatusGone)
			return nil
		}
		const head = 16
		if len(data) > head || !s.now().Before(until) || r.Context().Err() != nil {
			_, err := w.Write(data)
			return err
		}
	}
}

// read returns the records from an offset on, behind the partition's end and
// first offset, and whether some of them are gone.
func (s *Store) read(topic string, part int, from int64) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	if from < p.first || from > p.end() {
		return nil, true
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(p.first))
	for _, record := range p.records[min(int64(len(p.records)), from-p.first):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	return out, false
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) error {
	topic, part, err := where(r)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(topic, "keyed.") {
		return fmt.Errorf("topic %s keeps no keys", topic)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	type entry struct {
		Key    string `json:"TlsKey"`
		Value  []byte `json:"Value"`
		Offset int64  `json:"offset"`
	}
	page := struct {
		Entries []entry `json:"Entries"`
		More    bool    `json:"more"`
		End     int64   `json:"end"`
	}{Entries: []entry{}, End: p.end()}
	after := r.URL.Query().Get("After")
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= after && after != "" {
			continue
		}
		if len(page.Entries) == pageLen {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, entry{Key: key, Value: p.newest[key].value, Offset: p.newest[key].offset})
	}
	return answer(w, page)
}
