import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stops and starts the daemons of each zone in turn while clients send charges on new connections.
 * A charge that a replica got and whose connection then ends without an answer is lost.
 */
final class Roll {
    private static final int ZONES = 4;
    private static final int DAEMONS = 3;
    private static final int CLIENTS = 45;
    private static final int MEAN_PAUSE_MILLIS = 200;
    private static final int RUN_MILLIS = 12;
    private static final int ROLL_MILLIS = 93_000;
    private static final int GAP_MILLIS = 1_000;
    private static final int GRACE_MILLIS = 8_000;
    private static final int RESTART_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 2_500;

    private static volatile boolean sStopped;

    private final Lab mLab;
    private final Map<String, Long> mAtReplica = new ConcurrentHashMap<>();
    private final AtomicInteger mTerms = new AtomicInteger();
    private final AtomicInteger mSent = new AtomicInteger();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mNoConnection = new AtomicInteger();
    private final AtomicInteger mUnread = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();

    private Roll(final Lab lab) {
        mLab = lab;
    }

    /** The daemons of a zone and those of them to which the ingress sends new connections. */
    private final class Zone {
        private final int mNumber;
        private final Lab.Relay[] mRelays = new Lab.Relay[DAEMONS];
        private final long[] mStoppedNanos = new long[DAEMONS];
        private final Thread[] mStops = new Thread[DAEMONS];
        private final List<Thread> mClients = new ArrayList<>();
        private volatile List<Integer> mUsed = List.of();

        Zone(final int number) {
            mNumber = number;
        }

        /** One question a second, out after two misses, and all if under half are in rotation. */
        void rotate() {
            final int[] misses = new int[DAEMONS];
            while (!sStopped) {
                final List<Integer> ready = new ArrayList<>();
                final List<Integer> all = new ArrayList<>();
                for (int i = 0; i < DAEMONS; i++) {
                    misses[i] = mRelays[i].isReady() ? 0 : misses[i] + 1;
                    all.add(i);
                    if (misses[i] < 2) {
                        ready.add(i);
                    }
                }
                if (!ready.isEmpty()) {
                    mUsed = 2 * ready.size() < DAEMONS ? all : ready;
                } else {
                    mUsed = List.of();
                }
                Lab.sleep(1_000);
            }
        }

        void startClients() {
            for (int c = 0; c < CLIENTS; c++) {
                final int number = c;
                final Thread client = new Thread(() -> send("z" + mNumber + "c" + number));
                client.start();
                mClients.add(client);
            }
        }

        private void send(final String name) {
            final Random random = new Random(name.hashCode());
            for (int i = 0; !sStopped; i++) {
                Lab.sleep((long) (-Math.log(1 - random.nextDouble()) * MEAN_PAUSE_MILLIS));
                final List<Integer> used = mUsed;
                if (used.isEmpty()) {
                    continue;
                }
                final int d = used.get(random.nextInt(used.size()));
                final String id = name + "n" + i;
                mSent.incrementAndGet();
                final String end = request(mRelays[d], id);
                if (end.startsWith("HTTP")) {
                    mAnswered.incrementAndGet();
                    continue;
                }
                if (end.equals("no connection")) {
                    mNoConnection.incrementAndGet();
                    continue;
                }
                // A request that crosses the end and is not passed on doesn't count.
                final Long ran = mAtReplica.get(id);
                if (ran == null) {
                    mUnread.incrementAndGet();
                    continue;
                }
                final long sinceMillis = (System.nanoTime() - mStoppedNanos[d]) / 1_000_000;
                mLab.record(
                        "client: %s sent to %s, replica ran it, %s %d ms after SIGTERM",
                        id, mRelays[d].mName, end, sinceMillis);
                if (end.equals("closed without an answer")
                        && mStoppedNanos[d] != 0
                        && sinceMillis < GRACE_MILLIS + 1_000) {
                    mLab.record("LOST: %s", id);
                    mLost.incrementAndGet();
                }
            }
        }

        /** Sends SIGTERM to one daemon after the other, each once it is ready again. */
        void roll(final long endNanos) throws Exception {
            for (int d = 0; System.nanoTime() < endNanos; d = (d + 1) % DAEMONS) {
                if (Lab.TROUBLE) {
                    stop(d);
                }
                Lab.sleep(GAP_MILLIS);
            }
            for (final Thread stop : mStops) {
                if (stop != null) {
                    stop.join(15_000);
                }
            }
        }

        private void stop(final int d) throws Exception {
            if (mStops[d] != null) {
                mStops[d].join();
            }
            mRelays[d].awaitReady();
            mRelays[d].signal("TERM");
            mStoppedNanos[d] = System.nanoTime();
            mTerms.incrementAndGet();
            mStops[d] = new Thread(() -> awaitEndAndStart(d));
            mStops[d].start();
        }

        private void awaitEndAndStart(final int d) {
            try {
                if (!mRelays[d].awaitEnd(GRACE_MILLIS)) {
                    mRelays[d].signal("KILL");
                    mRelays[d].awaitEnd(5_000);
                }
                Lab.sleep(RESTART_MILLIS);
                mRelays[d].start();
            } catch (final IOException e) {
                mLab.record("restart failed: %s", e);
            }
        }
    }

    public static void main(final String[] arguments) throws Exception {
        int code = Lab.COULD_NOT_RUN;
        try (Lab lab = new Lab()) {
            code = new Roll(lab).run();
        } catch (final IOException e) {
            System.out.println("could not run: " + e);
        }
        System.exit(code);
    }

    private int run() throws Exception {
        for (int i = 0; i < 3; i++) {
            mLab.replica("i-" + i, "app", "v1", 6, this::serve).announce("ready");
        }
        mLab.configure(
                1,
                List.of("app"),
                List.of(Lab.route("charge", "non_idempotent", "app", false, 1200, 1, true)),
                "");
        final String network = Lab.freeNetwork(ZONES * DAEMONS);
        final List<String> ips = new ArrayList<>();
        for (int i = 1; i <= ZONES * DAEMONS; i++) {
            ips.add(network + i);
        }
        final List<Zone> zones = new ArrayList<>();
        for (int z = 0; z < ZONES; z++) {
            final Zone zone = new Zone(z);
            for (int d = 0; d < DAEMONS; d++) {
                final int number = z * DAEMONS + d;
                zone.mRelays[d] = mLab.relay("edge-" + number, ips.get(number), ips, true);
                zone.mRelays[d].start();
            }
            zones.add(zone);
        }
        for (final Zone zone : zones) {
            for (final Lab.Relay relay : zone.mRelays) {
                relay.awaitReady();
            }
            Lab.daemon(zone::rotate);
        }
        Lab.sleep(2_000);
        zones.forEach(Zone::startClients);
        final long endNanos = System.nanoTime() + ROLL_MILLIS * 1_000_000L;
        final List<Thread> rolls = new ArrayList<>();
        for (final Zone zone : zones) {
            final Thread roll =
                    new Thread(
                            () -> {
                                try {
                                    zone.roll(endNanos);
                                } catch (final Exception e) {
                                    mLab.record("the roll ended: %s", e);
                                }
                            });
            roll.start();
            rolls.add(roll);
        }
        for (final Thread roll : rolls) {
            roll.join();
        }
        sStopped = true;
        for (final Zone zone : zones) {
            for (final Thread client : zone.mClients) {
                client.join(5_000);
            }
        }
        final String result =
                String.format(
                        "%d SIGTERM, %d charges sent, %d answered, %d without a connection, %d"
                                + " closed and not at a replica, %d at a replica and closed"
                                + " without an answer",
                        mTerms.get(),
                        mSent.get(),
                        mAnswered.get(),
                        mNoConnection.get(),
                        mUnread.get(),
                        mLost.get());
        mLab.record("%s", result);
        System.out.println(result);
        if (mAnswered.get() < mSent.get() / 2) {
            return Lab.COULD_NOT_RUN;
        }
        return mLost.get() > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private boolean serve(
            final Lab.Replica replica,
            final Lab.Request request,
            final InputStream in,
            final java.io.OutputStream out)
            throws IOException {
        Lab.readBody(in, request.mHeaders);
        mAtReplica.put(request.id(), System.nanoTime());
        Lab.sleep(RUN_MILLIS);
        out.write(Lab.answer(request, "done " + request.id()));
        return true;
    }

    /** Sends one charge on a new connection and returns the status or how it ended. */
    private static String request(final Lab.Relay relay, final String id) {
        boolean written = false;
        try (Socket socket = relay.connect()) {
            socket.setSoTimeout(DEADLINE_MILLIS);
            socket.getOutputStream()
                    .write(
                            Lab.ascii(
                                    Lab.head(
                                                    "POST",
                                                    "/charge/1",
                                                    id,
                                                    "Deadline-Ms: 2500\r\nContent-Length: 2\r\n")
                                            + "xy"));
            written = true;
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            return "HTTP " + Lab.readAnswer(in).mStatus;
        } catch (final SocketTimeoutException e) {
            return "no answer in time";
        } catch (final IOException e) {
            return written ? "closed without an answer" : "no connection";
        }
    }
}
