import java.io.IOException;
import java.net.BindException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs one relay as its own process, with the command and the environment of the deploy file. */
final class Relay implements AutoCloseable {
    private static final Path ROOT = Path.of(System.getProperty("project.root")).toAbsolutePath();

    /** The max_fds of the machines, which the platform sets for each process. */
    private static final int DESCRIPTORS = 4_200;

    private static final int FIRST_PORT = 15_000;
    private static final int LAST_PORT = 32_000;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final String mName;
    private final Path mFolder;
    private final int mCallerPort;
    private final int mReadyPort;
    private final int mPeerPort;
    private final int mMetricsPort;
    private Process mProcess;

    Relay(final String name, final Path folder) throws IOException {
        mName = name;
        mFolder = folder;
        final List<ServerSocket> reserved = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            reserved.add(freePort());
        }
        mCallerPort = reserved.get(0).getLocalPort();
        mReadyPort = reserved.get(1).getLocalPort();
        mPeerPort = reserved.get(2).getLocalPort();
        mMetricsPort = reserved.get(3).getLocalPort();
        for (final ServerSocket socket : reserved) {
            socket.close();
        }
    }

    /** Binds a free port below the range from which the system takes the ports of clients. */
    private static ServerSocket freePort() throws IOException {
        for (int i = 0; i < 1_000; i++) {
            final int port = FIRST_PORT + RANDOM.nextInt(LAST_PORT - FIRST_PORT);
            try {
                return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
            } catch (final BindException e) {
                // In use.
            }
        }
        throw new IOException("no free port");
    }

    int callerPort() {
        return mCallerPort;
    }

    String peerAddress() {
        return "127.0.0.1:" + mPeerPort;
    }

    long pid() {
        return mProcess.pid();
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Starts the process with settings that the template of the deploy file would give. */
    void start(final String storeAddress, final List<String> seeds) throws IOException {
        final Path settings = mFolder.resolve(mName + ".json");
        final List<String> quoted = new ArrayList<>();
        seeds.forEach(seed -> quoted.add(Json.text(seed)));
        Files.writeString(
                settings,
                "{\"name\":" + Json.text(mName)
                        + ",\"zone\":\"zone-a\""
                        + ",\"callerAddress\":\"127.0.0.1:" + mCallerPort + "\""
                        + ",\"readinessAddress\":\"127.0.0.1:" + mReadyPort + "\""
                        + ",\"peerAddress\":\"127.0.0.1:" + mPeerPort + "\""
                        + ",\"metricsAddress\":\"127.0.0.1:" + mMetricsPort + "\""
                        + ",\"seeds\":[" + String.join(",", quoted) + "]"
                        + ",\"directoryAddress\":" + Json.text(storeAddress)
                        + ",\"graceSeconds\":8,\"drainMillis\":2000,\"propagationMillis\":2000"
                        + ",\"recoveryMillis\":3000,\"retryRatio\":0.2,\"retrySlack\":52"
                        + ",\"quotaOvershoot\":0.25,\"quotaTolerance\":140000"
                        + ",\"quotaWindowSeconds\":8}");
        final String deploy = Files.readString(ROOT.resolve("deploy/system.toml"));
        final String command = find(deploy, "(?m)^run = \"([^\"]*)\"");
        final String secret = find(deploy, "PERSIMMONREEL_FLEET_SECRET = \"([^\"]*)\"");
        final ProcessBuilder builder =
                new ProcessBuilder("bash", "-c", "ulimit -n " + DESCRIPTORS + "; exec " + command);
        builder.directory(ROOT.toFile());
        builder.environment().put("PERSIMMONREEL_SETTINGS", settings.toString());
        builder.environment().put("PERSIMMONREEL_FLEET_SECRET", secret);
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(mFolder.resolve(mName + ".out").toFile()));
        mProcess = Processes.track(builder.start());
    }

    String output() throws IOException {
        return Files.readString(mFolder.resolve(mName + ".out"), StandardCharsets.UTF_8);
    }

    boolean isReady() {
        return get(mReadyPort, "/readyz") == 200;
    }

    boolean awaitReady(final long millis) throws InterruptedException {
        final long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end && mProcess.isAlive()) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    void signal(final String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
    }

    @Override
    public void close() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            try {
                mProcess.waitFor(5, TimeUnit.SECONDS);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static int get(final int port, final String path) {
        try {
            final HttpURLConnection call =
                    (HttpURLConnection)
                            URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
            call.setConnectTimeout(500);
            call.setReadTimeout(1_000);
            final int status = call.getResponseCode();
            call.disconnect();
            return status;
        } catch (final IOException e) {
            return -1;
        }
    }

    private static String find(final String text, final String pattern) throws IOException {
        final Matcher matcher = Pattern.compile(pattern).matcher(text);
        if (!matcher.find()) {
            throw new IOException("deploy file: not found: " + pattern);
        }
        return matcher.group(1);
    }
}
