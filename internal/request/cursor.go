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
	// MinCursorKeyBytes is the smallest size of a Sealer's keys.
	MinCursorKeyBytes = 32
)

// Sealer encrypts and decrypts cursors. All entry VMs have the same keys, so that any of them can resume a stream.
//
// A cursor has the form "fixed.index.mac". fixed is the part that stays the same over a stream, encrypted once
// under a key derived from a random salt. mac authenticates fixed and the index. So the cursor of a token
// costs one HMAC and no random numbers.
type Sealer struct {
	keys [][]byte
}

// NewSealer returns a sealer that encrypts with the first key and decrypts with any key, so that keys can
// be rotated.
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

// StreamSealer creates the cursors of one stream. It is not safe for concurrent use.
type StreamSealer struct {
	fixed []byte
	mac   hash.Hash
	// cursor and tag are buffers that are reused for each cursor.
	cursor []byte
	tag    []byte
}

// NewStream encrypts the part of the cursors that stays the same over a stream.
func (s *Sealer) NewStream(cursor *cursorpb.Cursor) (*StreamSealer, error) {
	plaintext, err := proto.Marshal(cursor)
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
	// The ciphertext is appended to the salt, so that Open can derive the keys.
	sealed := aead.Seal(salt, make([]byte, aead.NonceSize()), plaintext, nil)
	fixed := base64.RawURLEncoding.AppendEncode(nil, sealed)
	return &StreamSealer{fixed: fixed, mac: mac}, nil
}

// CursorAt returns the cursor from which a stream resumes at the token index next. The result is valid until the
// next call.
func (s *StreamSealer) CursorAt(next int) []byte {
	var index [8]byte
	binary.BigEndian.PutUint64(index[:], uint64(next))
	s.cursor = append(s.cursor[:0], s.fixed...)
	s.cursor = append(s.cursor, '.')
	s.cursor = base64.RawURLEncoding.AppendEncode(s.cursor, index[:])
	s.cursor = append(s.cursor, '.')
	s.tag = indexMAC(s.mac, s.fixed, index[:], s.tag[:0])
	return base64.RawURLEncoding.AppendEncode(s.cursor, s.tag)
}

// Open authenticates a cursor and returns its contents and the index of the next token.
// An invalid cursor, or one sealed with other keys, is an error of kind bad_request.
func (s *Sealer) Open(text string) (*cursorpb.Cursor, int, error) {
	fixed, sealed, index, tag, err := splitCursor(text)
	if err != nil {
		return nil, 0, err
	}
	for _, key := range s.keys {
		aead, mac, err := deriveKeys(key, sealed[:cursorSaltBytes])
		if err != nil {
			return nil, 0, err
		}
		if !hmac.Equal(tag, indexMAC(mac, []byte(fixed), index, nil)) {
			continue
		}
		plaintext, err := aead.Open(nil, make([]byte, aead.NonceSize()), sealed[cursorSaltBytes:], nil)
		if err != nil {
			continue
		}
		cursor := &cursorpb.Cursor{}
		if err := proto.Unmarshal(plaintext, cursor); err != nil {
			return nil, 0, invalidCursor()
		}
		return cursor, int(binary.BigEndian.Uint64(index)), nil
	}
	return nil, 0, invalidCursor()
}

// splitCursor returns the parts of a cursor: fixed as it stands in the text, its decoded form sealed (the salt and
// the ciphertext), the index of the next token, and the MAC.
func splitCursor(text string) (fixed string, sealed, index, tag []byte, err error) {
	parts := strings.Split(text, ".")
	if len(text) > maxCursorBytes || len(parts) != 3 {
		return "", nil, nil, nil, invalidCursor()
	}
	decoded := make([][]byte, len(parts))
	for i, part := range parts {
		decoded[i], err = base64.RawURLEncoding.DecodeString(part)
		if err != nil {
			return "", nil, nil, nil, invalidCursor()
		}
	}
	if len(decoded[0]) < cursorSaltBytes || len(decoded[1]) != 8 || len(decoded[2]) != cursorMACBytes {
		return "", nil, nil, nil, invalidCursor()
	}
	return parts[0], decoded[0], decoded[1], decoded[2], nil
}

func invalidCursor() error {
	return apierror.New(apierror.KindBadRequest, "the cursor in Last-Event-ID is not one of ours or is damaged",
		"send the id of the last event exactly as it was received, or repeat the request without it")
}

// deriveKeys derives the encryption and authentication keys for a salt from a sealer's key. Each salt is used for
// only one encryption, so the constant nonce is safe.
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

// indexMAC returns the MAC of an index and its fixed part, appended to buffer and truncated to cursorMACBytes.
func indexMAC(mac hash.Hash, fixed, index, buffer []byte) []byte {
	mac.Reset()
	mac.Write(fixed)
	mac.Write(index)
	return mac.Sum(buffer)[:cursorMACBytes]
}
