package state

// TemporaryPrefix is exported for tests outside of the package.
const TemporaryPrefix = temporaryPrefix

// RecordOfSerial is exported for tests outside of the package.
var NewRecord = newRecord
