package request

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"strings"

	"google.golang.org/protobuf/proto"

	"godwitcart/internal/apierror"
	"godwitcart/internal/request/cursorpb"
)

// The sizes of a cursor's parts, in bytes.
const (
	cursorSaltBytes = 16
	cursorMACBytes  = 16
	// maxCursorBytes bounds the text of a cursor that a caller sends.
	maxCursorBytes = 4096
	// MinCursorKeyBytes is the smallest key of a Sealer.
	MinCursorKeyBytes = 32
)

// Sealer seals and opens cursors. The same keys on every entry VM let any of them resume a stream.
//
// A cursor is "fixed.index.mac": fixed holds what stays the same over a stream, encrypted once
// under a key derived from a random salt; mac covers fixed and the index, so that a token costs one
// HMAC and no random number.
type Sealer struct {
	keys [][]byte
}

// NewSealer returns a sealer that seals with the first key and opens with any of them.
func NewSealer(keys [][]byte) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, apierror.New(apierror.KindBadRequest, "there is no cursor key",
			"set cursor_keys to one or more keys, the same on every entry VM")
	}
	for _, key := range keys {
		if len(key) < MinCursorKeyBytes {
			return nil, apierror.Newf(apierror.KindBadRequest, "use at least 32 random bytes",
				"a cursor key has %d bytes", len(key))
		}
	}
	return &Sealer{keys: keys}, nil
}

// StreamSealer makes the cursors of one stream. It is not safe for concurrent use.
type StreamSealer struct {
	fixed []byte
	mac   hash.Hash
	// text and sum are used again for each cursor.
	text []byte
	sum  []byte
}

// Stream seals what stays the same over a stream.
func (s *Sealer) Stream(cursor *cursorpb.Cursor) (*StreamSealer, error) {
	plain, err := proto.Marshal(cursor)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.KindInternal, "encode a cursor", "report this")
	}
	salt := make([]byte, cursorSaltBytes)
	if _, err := rand.Read(salt); err != nil {
		return nil, apierror.Wrap(err, apierror.KindInternal, "read random bytes", "check the VM's random device")
	}
	aead, mac, err := deriveKeys(s.keys[0], salt)
	if err != nil {
		return nil, err
	}
	sealed := aead.Seal(salt, make([]byte, aead.NonceSize()), plain, nil)
	fixed := base64.RawURLEncoding.AppendEncode(nil, sealed)
	return &StreamSealer{fixed: fixed, mac: mac}, nil
}

// At returns the cursor whose next undelivered token has the index next. The result is valid until
// the next call.
func (s *StreamSealer) At(next int) []byte {
	var index [8]byte
	binary.BigEndian.PutUint64(index[:], uint64(next))
	s.text = append(s.text[:0], s.fixed...)
	s.text = append(s.text, '.')
	s.text = base64.RawURLEncoding.AppendEncode(s.text, index[:])
	s.text = append(s.text, '.')
	s.sum = indexMAC(s.mac, s.fixed, index[:], s.sum[:0])
	return base64.RawURLEncoding.AppendEncode(s.text, s.sum)
}

// Open checks a cursor's text and returns its contents and the index of the next token.
// A forged, foreign or damaged cursor is an error of kind bad_request.
func (s *Sealer) Open(text string) (*cursorpb.Cursor, int, error) {
	fixed, sealed, index, sum, err := splitCursor(text)
	if err != nil {
		return nil, 0, err
	}
	for _, key := range s.keys {
		aead, mac, err := deriveKeys(key, sealed[:cursorSaltBytes])
		if err != nil {
			return nil, 0, err
		}
		if !hmac.Equal(sum, indexMAC(mac, []byte(fixed), index, nil)) {
			continue
		}
		plain, err := aead.Open(nil, make([]byte, aead.NonceSize()), sealed[cursorSaltBytes:], nil)
		if err != nil {
			continue
		}
		cursor := &cursorpb.Cursor{}
		if err := proto.Unmarshal(plain, cursor); err != nil {
			return nil, 0, badCursor()
		}
		return cursor, int(binary.BigEndian.Uint64(index)), nil
	}
	return nil, 0, badCursor()
}

func splitCursor(text string) (fixed string, sealed, index, sum []byte, err error) {
	parts := strings.Split(text, ".")
	if len(text) > maxCursorBytes || len(parts) != 3 {
		return "", nil, nil, nil, badCursor()
	}
	decoded := make([][]byte, len(parts))
	for i, part := range parts {
		decoded[i], err = base64.RawURLEncoding.DecodeString(part)
		if err != nil {
			return "", nil, nil, nil, badCursor()
		}
	}
	if len(decoded[0]) < cursorSaltBytes || len(decoded[1]) != 8 || len(decoded[2]) != cursorMACBytes {
		return "", nil, nil, nil, badCursor()
	}
	return parts[0], decoded[0], decoded[1], decoded[2], nil
}

func badCursor() error {
	return apierror.New(apierror.KindBadRequest, "the cursor in Last-Event-ID is not one of ours or is damaged",
		"send the id of the last event exactly as it was received, or repeat the request without it")
}

// deriveKeys derives the encryption and authentication keys of one salt from a sealer's key. A salt
// is used for one stream only, which makes the constant nonce safe.
func deriveKeys(key, salt []byte) (cipher.AEAD, hash.Hash, error) {
	block, err := aes.NewCipher(deriveKey(key, salt, "seal"))
	if err != nil {
		return nil, nil, apierror.Wrap(err, apierror.KindInternal, "derive a cursor key", "report this")
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, nil, apierror.Wrap(err, apierror.KindInternal, "derive a cursor key", "report this")
	}
	return aead, hmac.New(sha256.New, deriveKey(key, salt, "index")), nil
}

func deriveKey(key, salt []byte, purpose string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(salt)
	mac.Write([]byte(purpose))
	return mac.Sum(nil)
}

// indexMAC authenticates an index and the fixed part it belongs to; the result uses buffer.
func indexMAC(mac hash.Hash, fixed, index, buffer []byte) []byte {
	mac.Reset()
	mac.Write(fixed)
	mac.Write(index)
	return mac.Sum(buffer)[:cursorMACBytes]
}
