package state

// For tests outside of the package.
const TemporaryPrefix = temporaryPrefix

// RecordOfSerial is for tests outside of the package.
var RecordOfSerial = record
