package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.replica.Replica;

/**
 * Describes a response, or bytes that are none, that belongs to no request.
 *
 * @param kind the kind
 * @param replica the replica that sent it
 * @param connection the number of the connection
 * @param exchanges the number of exchanges on the connection, including the current one
 * @param expectedId the attempt id of the current request, null if there is none
 * @param attemptId the attempt id in the response, null if there is none
 * @param status the status, 0 for bytes that are no response
 * @param framing the declared framing, null for bytes that are no response
 * @param declaredLength the declared length in bytes, -1 if there is none
 * @param ofPreviousExchange whether its attempt id is that of the previous exchange
 * @param previousAgeNanos the time since the end of the previous exchange on the connection, in
 *     nanoseconds, -1 if there was none
 */
record UnrequestedResponse(
        UnrequestedKind kind,
        Replica replica,
        long connection,
        int exchanges,
        String expectedId,
        String attemptId,
        int status,
        ResponseFraming framing,
        long declaredLength,
        boolean ofPreviousExchange,
        long previousAgeNanos) {}
