package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// kind is what a Digest identifies.
type kind uint8

const (
	// kindRequest: a whole request.
	kindRequest kind = iota
	// kindPart: a part of the prompts of one workspace.
	kindPart
	// kindSharedPart: a part of prompts, whichever workspace sends it.
	kindSharedPart
)

// The digests of parts begin with a mark. A request's digest begins with one once in a billion
// times.
const (
	partMark       = "parw"
	sharedPartMark = "pars"
)

const (
	// sameIncident is the time within which crashes count as one against a part of a prompt: other
	// causes, such as a power failure, crash many instances at once, which all ran popular parts.
	sameIncident = 30 * time.Millisecond
	// soundTime is how long a part that has been answered is no suspect.
	soundTime = 10 * time.Second
	// maxSound bounds the number of parts that are known to be sound.
	maxSound = 4096
)

// PartDigests returns the digests of parts of a prompt for a model. Each part has one for its
// workspace, so that no workspace can have a part of another one blamed, and one for all workspaces,
// which only crashes with the part in several workspaces can be attributed to.
func PartDigests(workspace models.WorkspaceName, model models.ModelName, parts []string) []Digest {
	out := make([]Digest, 0, 2*len(parts))
	for _, part := range parts {
		out = append(out, partDigest(partMark, string(workspace), string(model), part), partDigest(sharedPartMark, string(model), part))
	}
	return out
}

func partDigest(mark string, fields ...string) Digest {
	h := sha256.New()
	for _, field := range fields {
		writeField(h, []byte(field))
	}
	d := Digest(h.Sum(nil))
	copy(d[:], mark)
	return d
}

func (d Digest) kind() kind {
	switch string(d[:len(partMark)]) {
	case partMark:
		return kindPart
	case sharedPartMark:
		return kindSharedPart
	default:
		return kindRequest
	}
}

// IsPart reports whether the digest is that of a part of prompts.
func (d Digest) IsPart() bool { return d.kind() != kindRequest }

// partString returns a short form of a part's digest.
func (d Digest) partString() string {
	return "part-" + hex.EncodeToString(d[len(partMark):len(partMark)+shortLen])
}

// MarkSound records that an instance answered a request with a part and did not crash. It clears
// the part of earlier crashes, and of those in the next soundTime. It reports whether the part was a
// suspect.
func (l *List) MarkSound(d Digest, now time.Time) bool {
	if l.sound == nil {
		l.sound = map[Digest]time.Time{}
	}
	if _, known := l.sound[d]; !known && len(l.sound) >= maxSound {
		// Any entry makes way; a popular part is soon recorded again.
		for other := range l.sound {
			delete(l.sound, other)
			break
		}
	}
	l.sound[d] = now
	return len(l.suspects[d]) > 0 && l.Clear(d, now)
}

// isSound reports whether a part was answered shortly before a crash, or after it.
func (l *List) isSound(d Digest, crash time.Time) bool {
	at, known := l.sound[d]
	return known && crash.Sub(at) < soundTime
}

// pruneSound forgets the parts that were answered too long ago.
func (l *List) pruneSound(now time.Time) {
	maps.DeleteFunc(l.sound, func(_ Digest, at time.Time) bool { return now.Sub(at) >= soundTime })
}

// Blocks returns a part because of which a prompt must not be sent, and whether there is one. Parts
// that nobody can tell apart yet block a prompt only if it holds all of them: another one may
// succeed and so clear its parts.
func (l *List) Blocks(parts []Digest) (Digest, bool) {
	for _, d := range parts {
		if !l.statuses[d].Quarantined {
			continue
		}
		missing := func(other Digest) bool { return !slices.Contains(parts, other) }
		if !slices.ContainsFunc(l.tied[d], missing) {
			return d, true
		}
	}
	return Digest{}, false
}

// evaluateParts finds the parts of prompts that caused the crashes. A part is identified if no
// request, and no other part, was on nearly all of the instances that crashed with it.
func (l *List) evaluateParts(now time.Time) {
	l.tied = map[Digest][]Digest{}
	for _, k := range []kind{kindPart, kindSharedPart} {
		explained := map[*crash]bool{}
		for top := l.topParts(k, explained); len(top) > 0; top = l.topParts(k, explained) {
			l.judgeParts(k, top, now)
			for _, crashes := range top {
				for _, c := range crashes {
					explained[c] = true
				}
			}
		}
	}
}

// topParts returns the parts of a kind with the most unexplained incidents, if these reach
// CrashLimit.
func (l *List) topParts(k kind, explained map[*crash]bool) map[Digest][]*crash {
	most, top := CrashLimit, map[Digest][]*crash{}
	for d, crashes := range l.suspects {
		if len(crashes) < most || d.kind() != k {
			continue
		}
		remaining := slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool { return explained[c] })
		count := len(incidents(remaining))
		if count > most {
			most, top = count, map[Digest][]*crash{}
		}
		if count == most {
			top[d] = remaining
		}
	}
	return top
}

// judgeParts quarantines top parts with a sufficient lead over all rivals. If none has one, it
// quarantines those together that reach contestedCrashLimit and have a lead over all requests.
func (l *List) judgeParts(k kind, top map[Digest][]*crash, now time.Time) {
	var identified, tied []Digest
	for d, crashes := range top {
		all := incidents(crashes)
		switch {
		case len(all)-l.maxSharedIncidents(d, all, k) >= minLead:
			identified = append(identified, d)
		case len(all) >= contestedCrashLimit && len(all)-l.maxSharedIncidents(d, all, k-1) >= minLead:
			tied = append(tied, d)
		}
	}
	for d, crashes := range top {
		s := summarize(crashes)
		recent := now.Sub(s.Last) < quarantineTime
		switch {
		case slices.Contains(identified, d):
			s.Quarantined = recent
		case len(identified) == 0 && slices.Contains(tied, d):
			s.Quarantined, l.tied[d] = recent, tied
		}
		l.statuses[d] = s
	}
}

// maxSharedIncidents returns the highest number of a part's incidents that any single rival shares.
// Rivals are the digests up to a kind that are not cleared.
func (l *List) maxSharedIncidents(d Digest, all [][]*crash, upTo kind) int {
	shared, most := map[Digest]int{}, 0
	for _, incident := range all {
		rivals := map[Digest]bool{}
		for _, c := range incident {
			for other, s := range c.requests {
				if other != d && !s.cleared && other.kind() <= upTo {
					rivals[other] = true
				}
			}
		}
		for other := range rivals {
			shared[other]++
			most = max(most, shared[other])
		}
	}
	return most
}

// incidents groups crashes by sameIncident.
func incidents(crashes []*crash) [][]*crash {
	sorted := slices.SortedFunc(slices.Values(crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	var out [][]*crash
	for _, c := range sorted {
		if n := len(out); n > 0 && c.at.Sub(out[n-1][0].at) < sameIncident {
			out[n-1] = append(out[n-1], c)
			continue
		}
		out = append(out, []*crash{c})
	}
	return out
}
