package poison

import (
	"encoding/binary"
	"hash/crc32"
	"hash/fnv"
	"slices"
	"strconv"
)

// Features are what a request may have in common with others under which targets crash.
type Features struct {
	// list holds the feature of the request itself first, if namesRequest is set, and then those that other requests may
	// share, from the most widely shared one on.
	list         []Feature
	namesRequest bool
}

// NewFeatures returns the features of a request: the one that only its repetitions have, and those that other requests may
// share, from the most widely shared one on.
func NewFeatures(request Feature, shared ...Feature) Features {
	return Features{list: slices.Concat([]Feature{request}, shared), namesRequest: true}
}

// SharedFeatures returns the features of a request of which nothing else is known.
func SharedFeatures(shared ...Feature) Features { return Features{list: shared} }

// Feature identifies something that several requests to a service may have in common.
type Feature uint64

// PartFeature returns the feature of a shared part of a prompt.
func PartFeature(service, part string) Feature {
	return newFeature("part", []byte(service), []byte(part))
}

// maxHashedBytes bounds the bytes of a body that identify it, beside its length.
const maxHashedBytes = 64 << 10

// ContentFeature returns the feature of everything that a caller sends to a plain service.
func ContentFeature(service, method, uri string, body []byte) Feature {
	length := strconv.Itoa(len(body))
	return newFeature("content", []byte(service), []byte(method), []byte(uri), []byte(length), body[:min(len(body), maxHashedBytes)])
}

// RequestFeature returns the feature of a request as its caller repeats it: the same content from the same account and, for
// a generation, the same prompt. parts are the ids of all parts of the prompt.
func RequestFeature(content Feature, account string, parts []string, body []byte) Feature {
	values := [][]byte{[]byte(content.String()), []byte(account), binary.BigEndian.AppendUint32(nil, crc32.Checksum(body, castagnoli))}
	for _, part := range parts {
		values = append(values, []byte(part))
	}
	return newFeature("request", values...)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func newFeature(kind string, values ...[]byte) Feature {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(kind)) // never fails
	for _, value := range values {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(value)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(value)
	}
	return Feature(hash.Sum64())
}
