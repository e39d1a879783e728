/*
 * Models the promise of not having run that a relay gives for one attempt of a caller.
 *
 * The attempt waits, gets a connection, is sent, and may be sent again to a second replica after a
 * refusal. A replica may run the request at any time after it was sent, until its connection is
 * closed or it has refused; bytes that are on their way when the connection closes may still be
 * read. The relay may end the attempt at any time: at the deadline, at the end of the process or
 * since no replica is left. Status 503 promises that the attempt has not run and never will.
 *
 * Preprocessor defines that select a variant:
 *   BROKEN_SHUTDOWN    the end of the process answers 503 in every state
 *   BROKEN_UNPROVEN    a broken connection counts as proof that the attempt did not run
 */

#define SENDS 2

mtype = { WAITING, CONNECTING, SENT, ENDED };

mtype phase = WAITING;
byte sent = 0;
byte provenNotRun = 0;
bool atReplica[SENDS];
bool ran = false;
bool promised = false;

inline end(promise) {
  promised = promise;
  phase = ENDED
}

active proctype Relay() {
  do
  :: phase == WAITING && sent < SENDS -> phase = CONNECTING
  :: phase == CONNECTING -> phase = WAITING /* the replica can't be reached */
  :: phase == CONNECTING ->
     atomic {
       atReplica[sent] = true;
       sent++;
       phase = SENT
     }
  :: atomic { phase == SENT && atReplica[sent - 1] ->
       /* The replica states that it did not run the request. */
       atReplica[sent - 1] = false;
       provenNotRun++;
       phase = WAITING
     }
  :: atomic { phase == SENT ->
       /* The connection breaks. */
#ifdef BROKEN_UNPROVEN
       provenNotRun++;
#endif
       end(sent == provenNotRun);
       break
     }
  :: atomic { phase != ENDED ->
       /* The deadline passes or no replica is left. */
       end(sent == provenNotRun);
       break
     }
  :: atomic { phase != ENDED ->
       /* The process ends. */
#ifdef BROKEN_SHUTDOWN
       end(true);
#else
       end(sent == provenNotRun);
#endif
       break
     }
  od
}

active [SENDS] proctype Replica() {
  atomic {
    atReplica[_pid - 1] ->
    ran = true;
    atReplica[_pid - 1] = false
  }
}

active proctype Caller() {
  do
  :: assert(!(promised && ran))
  od
}
