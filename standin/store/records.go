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
	// firstOffset is the offset of records[0].
	firstOffset int64
	records     [][]byte
	// newest holds the newest value of each key of a keyed topic, with its offset.
	newest map[string]keyedValue
}

type keyedValue struct {
	value  []byte
	offset int64
}

func (s *Store) partition(topic string, part int) *partition {
	name := topic + "/" + strconv.Itoa(part)
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]keyedValue{}}
		s.partitions[name] = p
	}
	return p
}

func (p *partition) endOffset() int64 { return p.firstOffset + int64(len(p.records)) }

func (p *partition) append(record []byte) int64 {
	offset := p.endOffset()
	p.records = append(p.records, record)
	if len(record) == 0 || 1+int(record[0]) > len(record) {
		return offset
	}
	key := string(record[1 : 1+int(record[0])])
	if value := record[1+int(record[0]):]; len(value) > 0 {
		p.newest[key] = keyedValue{value: value, offset: offset}
	} else {
		delete(p.newest, key)
	}
	return offset
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) error {
	topic, part, err := parsePartition(r)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(p.endOffset(), 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return nil
	}
	offset := p.endOffset()
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return errors.New("a record is cut")
		}
		p.append(slices.Clone(body[4 : 4+n]))
		body = body[4+n:]
	}
	return writeJSON(w, map[string]int64{"offset": offset, "end": p.endOffset()})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) error {
	topic, part, err := parsePartition(r)
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
	for deadline := s.now().Add(wait); ; time.Sleep(pollInterval) {
		if s.busy() || s.eraChanged(era) {
			// A store that becomes unavailable doesn't answer the reads that were waiting.
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		data, expired := s.read(topic, part, from)
		if expired {
			w.WriteHeader(http.StatusGone)
			return nil
		}
		const headerBytes = 16
		if len(data) > headerBytes || !s.now().Before(deadline) || r.Context().Err() != nil {
			_, err := w.Write(data)
			return err
		}
	}
}

// read returns the partition's end and first offset, followed by the records from an offset on, and
// whether some of these records are expired.
func (s *Store) read(topic string, part int, from int64) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	if from < p.firstOffset || from > p.endOffset() {
		return nil, true
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(p.endOffset()))
	out = binary.BigEndian.AppendUint64(out, uint64(p.firstOffset))
	for _, record := range p.records[min(int64(len(p.records)), from-p.firstOffset):] {
		if len(out)+len(record) > maxPageBytes {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	return out, false
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) error {
	topic, part, err := parsePartition(r)
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
	}{Entries: []entry{}, End: p.endOffset()}
	after, bytes := r.URL.Query().Get("After"), 0
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= after && after != "" {
			continue
		}
		if len(page.Entries) == maxPageKeys || bytes+len(p.newest[key].value) > maxPageBytes && len(page.Entries) > 0 {
			page.More = true
			break
		}
		bytes += len(p.newest[key].value)
		page.Entries = append(page.Entries, entry{Key: key, Value: p.newest[key].value, Offset: p.newest[key].offset})
	}
	return writeJSON(w, page)
}
