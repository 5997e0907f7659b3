// Package oas holds the code that ogen makes from the OpenAPI documents in api.
package oas

//go:generate ../../.bin/ogen --target plat --package plat --clean ../../api/platform.yml
//go:generate ../../.bin/ogen --target oper --package oper --clean ../../api/operator.yml
