// Package kqcheck decodes and validates JSON documents that people write. Its errors
// are one line that names the key, its value and the allowed values.
package kqcheck
